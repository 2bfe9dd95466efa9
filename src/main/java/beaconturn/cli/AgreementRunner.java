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
 * Executes one operation of the {@code agreement} command.
 *
 * @param featuresFile the operators' file with the {@code [agreement]} section
 * @param reason reason of a proposal or withdrawal, for the history
 * @param author author of a proposal, for the history
 * @param waitSeconds how long to wait until a proposed version is in force; 0 does not wait
 * @param json whether to print JSON
 */
record AgreementRunner(
    String featuresFile, String reason, String author, int waitSeconds, boolean json) {
  private static final int EXIT_ERROR = 1;
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_NOT_NOW = 3;
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final long POLL_INTERVAL_MILLIS = 100;

  /** Longer than for a router, since a command has no lease that may expire meanwhile. */
  private static final long REQUEST_TIMEOUT_NANOS = 5 * NANOS_PER_SECOND;

  /** Executes the operation and returns the exit status. */
  int run(String operation, String argument) {
    StoreClient store = null;
    try {
      AgreementConfig config = FeaturesFile.requiredAgreement(featuresFile);
      if (operation.equals("explain")) {
        AgreementPrinter.printTiming(config.timing());
        return 0;
      }
      store = new StoreClient(config.endpoints(), REQUEST_TIMEOUT_NANOS);
      ConfigAdmin admin = new ConfigAdmin(new AgreementKeys(config.fleet()), store);
      return execute(admin, operation, argument);
    } catch (ConfigException e) {
      System.err.println("agreement: " + e.getMessage());
      return EXIT_ERROR;
    } catch (AgreementException e) {
      System.err.println("agreement " + operation + ": " + e.getMessage());
      return e.getMessage().startsWith("the store does not answer") ? EXIT_ERROR : EXIT_NOT_NOW;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_ERROR;
    } finally {
      if (store != null) {
        store.close();
      }
    }
  }

  private int execute(ConfigAdmin admin, String operation, String argument)
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

  /** Waits until the version is in force, is rejected, or the wait time is over. */
  private int await(ConfigAdmin admin, long versionNumber)
      throws AgreementException, InterruptedException {
    System.out.println("version " + versionNumber + " is proposed");
    long deadlineNanos = System.nanoTime() + waitSeconds * NANOS_PER_SECOND;
    while (System.nanoTime() < deadlineNanos) {
      AgreementSnapshot snapshot = admin.status().snapshot();
      if (snapshot.current().number() >= versionNumber) {
        System.out.println("version " + versionNumber + " is in force");
        return 0;
      }
      if (snapshot.proposedNumber() != versionNumber) {
        String reasonOfRejection = rejectionReason(admin, versionNumber);
        System.err.println("version " + versionNumber + " is turned down: " + reasonOfRejection);
        return EXIT_NOT_NOW;
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    if (waitSeconds > 0) {
      String awaited = String.join(", ", admin.status().awaitedMembers());
      System.err.println(
          "version " + versionNumber + " is not in force yet, it waits for " + awaited);
      return EXIT_NOT_NOW;
    }
    return 0;
  }

  private static String rejectionReason(ConfigAdmin admin, long versionNumber)
      throws AgreementException {
    for (VersionHistoryEntry entry : admin.history()) {
      if (entry.version().number() == versionNumber) {
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
