package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementKeys;
import beaconturn.agreement.AgreementSnapshot;
import beaconturn.agreement.AgreementStatus;
import beaconturn.agreement.ConfigAdmin;
import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.VersionHistoryEntry;
import beaconturn.net.ConfigException;
import beaconturn.net.agreement.AgreementConfig;
import beaconturn.net.agreement.StoreClient;
import java.util.UUID;

/**
 * Carries out one operation of the {@code agreement} command.
 *
 * @param features the operators' file
 * @param reason why, for proposals and withdrawals
 * @param author who proposes
 * @param patienceSeconds how long to wait for a proposed version to come into force
 * @param json whether to print JSON
 */
record AgreementRunner(
    String features, String reason, String author, int patienceSeconds, boolean json) {
  private static final int EXIT_WRONG = 1;
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_NOT_NOW = 3;
  private static final long SECOND_NANOS = 1_000_000_000;
  private static final long POLL_MILLIS = 100;

  /** A command that has just started holds no lease: it can wait longer than a router may. */
  private static final long REQUEST_TIMEOUT_NANOS = 5 * SECOND_NANOS;

  /** The exit status. */
  int run(String operation, String argument) {
    StoreClient store = null;
    try {
      AgreementConfig config = FeaturesFile.required(features);
      if (operation.equals("explain")) {
        AgreementPrinter.printTiming(config.timing());
        return 0;
      }
      store = new StoreClient(config.endpoints(), REQUEST_TIMEOUT_NANOS);
      ConfigAdmin admin = new ConfigAdmin(new AgreementKeys(config.fleet()), store);
      return carryOut(admin, operation, argument);
    } catch (ConfigException e) {
      System.err.println("agreement: " + e.getMessage());
      return EXIT_WRONG;
    } catch (AgreementException e) {
      System.err.println("agreement " + operation + ": " + e.getMessage());
      return e.getMessage().startsWith("the store does not answer") ? EXIT_WRONG : EXIT_NOT_NOW;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_WRONG;
    } finally {
      if (store != null) {
        store.close();
      }
    }
  }

  private int carryOut(ConfigAdmin admin, String operation, String argument)
      throws ConfigException, AgreementException, InterruptedException {
    switch (operation) {
      case "init" -> System.out.println(admin.begin(UUID.randomUUID().toString()));
      case "propose" -> {
        ConfigContent content = ContentFile.read(argument);
        long nowMillis = System.currentTimeMillis();
        return await(admin, admin.propose(current -> content, author, reason, nowMillis));
      }
      case "back" -> {
        return await(admin, admin.proposePrevious(author, reason, System.currentTimeMillis()));
      }
      case "withdraw" -> {
        admin.withdraw(reason);
        System.out.println("withdrawn");
      }
      case "lost" -> {
        admin.declareLost(argument);
        System.out.println(argument + " is declared lost");
      }
      case "show" -> show(admin);
      case "history" -> showHistory(admin);
      default -> {
        System.err.println("agreement: unknown order '" + operation + "', see 'agreement --help'");
        return EXIT_USAGE;
      }
    }
    return 0;
  }

  /** Waits until the version is in force or turned down, as long as was asked for. */
  private int await(ConfigAdmin admin, long number)
      throws AgreementException, InterruptedException {
    System.out.println("version " + number + " is proposed");
    long endNanos = System.nanoTime() + patienceSeconds * SECOND_NANOS;
    while (System.nanoTime() < endNanos) {
      AgreementSnapshot snapshot = admin.status().snapshot();
      if (snapshot.current().number() >= number) {
        System.out.println("version " + number + " is in force");
        return 0;
      }
      if (snapshot.proposedNumber() != number) {
        String rejection = rejectionReason(admin, number);
        System.err.println("version " + number + " is turned down: " + rejection);
        return EXIT_NOT_NOW;
      }
      Thread.sleep(POLL_MILLIS);
    }
    if (patienceSeconds > 0) {
      String awaited = String.join(", ", admin.status().awaitedMembers());
      System.err.println("version " + number + " is not in force yet, it waits for " + awaited);
      return EXIT_NOT_NOW;
    }
    return 0;
  }

  private static String rejectionReason(ConfigAdmin admin, long number) throws AgreementException {
    for (VersionHistoryEntry entry : admin.history()) {
      if (entry.version().number() == number) {
        return entry.rejectionReason();
      }
    }
    return null;
  }

  private void show(ConfigAdmin admin) throws AgreementException {
    AgreementStatus status = admin.status();
    if (json) {
      AgreementPrinter.printStatusJson(admin, status);
    } else {
      AgreementPrinter.printStatus(admin, status);
    }
  }

  private void showHistory(ConfigAdmin admin) throws AgreementException {
    for (VersionHistoryEntry entry : admin.history()) {
      if (json) {
        AgreementPrinter.printVersionJson(entry);
      } else {
        AgreementPrinter.printVersion(entry);
      }
    }
  }
}
