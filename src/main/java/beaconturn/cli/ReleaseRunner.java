package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementKeys;
import beaconturn.agreement.ConfigAdmin;
import beaconturn.agreement.CoordinationStore;
import beaconturn.net.ConfigException;
import beaconturn.net.agreement.AgreementConfig;
import beaconturn.net.agreement.StoreClient;
import beaconturn.release.DisruptionPermitAdmin;
import beaconturn.release.InstanceKind;
import beaconturn.release.RolloutAdmin;
import beaconturn.release.RolloutKeys;
import beaconturn.release.RolloutPlan;
import beaconturn.release.RolloutSnapshot;
import beaconturn.zones.ZonesKeys;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Executes one operation of the {@code release} command.
 *
 * @param featuresFile the operators' file with the {@code [agreement]} section
 * @param reason reason of the operation, for the history
 * @param author author of the operation, for the history
 * @param kind kind of an instance that is lost: {@code router} or {@code cache}
 * @param waitSeconds how long a drain waits until no router sends to the server
 * @param json whether to print the state as JSON
 */
record ReleaseRunner(
    String featuresFile, String reason, String author, String kind, int waitSeconds, boolean json) {
  /** Exit status: invalid input, or the store does not reply. */
  private static final int EXIT_ERROR = 1;

  private static final int EXIT_USAGE = 2;

  /** Exit status: currently not allowed, or not complete in time. */
  static final int EXIT_NOT_NOW = 3;

  private static final long REQUEST_TIMEOUT_NANOS = 5_000_000_000L;

  /** The store clients of an operation. */
  private record ReleaseSession(
      RolloutAdmin rollouts,
      DisruptionPermitAdmin permits,
      ConfigAdmin agreement,
      ObservedUnavailability observed) {}

  /** Executes the operation and returns the exit status. */
  int run(String operation, String argument) {
    try {
      AgreementConfig config = FeaturesFile.requiredAgreement(featuresFile);
      StoreClient store = new StoreClient(config.endpoints(), REQUEST_TIMEOUT_NANOS);
      try {
        return execute(operation, argument, session(config.fleet(), store));
      } finally {
        store.close();
      }
    } catch (ConfigException e) {
      System.err.println("release: " + e.getMessage());
      return EXIT_ERROR;
    } catch (AgreementException e) {
      System.err.println("release " + operation + ": " + e.getMessage());
      return e.getMessage().startsWith("the store does not answer") ? EXIT_ERROR : EXIT_NOT_NOW;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_ERROR;
    }
  }

  private ReleaseSession session(String fleet, CoordinationStore store) {
    RolloutKeys keys = new RolloutKeys(fleet);
    ConfigAdmin agreement = new ConfigAdmin(new AgreementKeys(fleet), store);
    return new ReleaseSession(
        new RolloutAdmin(keys, store, author, AgentRunner::now),
        new DisruptionPermitAdmin(keys, store, author, AgentRunner::now),
        agreement,
        new ObservedUnavailability(agreement, new ZonesKeys(fleet), store));
  }

  private int execute(String operation, String argument, ReleaseSession session)
      throws ConfigException, AgreementException, InterruptedException {
    switch (operation) {
      case "plan" -> printPlan(argument, session);
      case "drain" -> {
        return drain(argument, session);
      }
      case "undrain" -> {
        return cacheDrain(session).undrain(argument);
      }
      case "show" -> new ReleaseStatusPrinter(session.rollouts().snapshot()).print(json);
      case "report" -> writeReport(argument, session.rollouts());
      case "history" -> session.rollouts().history().forEach(System.out::println);
      default -> {
        return executeChange(operation, argument, session);
      }
    }
    return 0;
  }

  /** Executes an operation that changes a release or a permit, and prints its result. */
  private int executeChange(String operation, String argument, ReleaseSession session)
      throws ConfigException, AgreementException {
    RolloutAdmin rollouts = session.rollouts();
    String result =
        switch (operation) {
          case "fleet" -> rollouts.defineFleet(ReleaseFiles.readFleet(argument));
          case "start" -> rollouts.start(readPlan(argument, rollouts.snapshot()));
          case "halt" -> rollouts.halt(reason);
          case "resume" -> rollouts.resume(reason);
          case "back" -> rollouts.rollBack(reason);
          case "abandon" -> rollouts.abandon(reason);
          case "lost" -> session.permits().returnPermit(kindOfLost(), argument, reason);
          default -> null;
        };
    if (result == null) {
      System.err.println("release: unknown order '" + operation + "', see 'release --help'");
      return EXIT_USAGE;
    }
    System.out.println(result);
    return 0;
  }

  private InstanceKind kindOfLost() {
    return InstanceKind.ofSerializedName(kind).orElse(InstanceKind.ROUTER);
  }

  private RolloutPlan readPlan(String file, RolloutSnapshot snapshot) throws ConfigException {
    return ReleaseFiles.readPlan(file, reason, snapshot.fleet());
  }

  /** Prints what a release would do, without starting it. */
  private void printPlan(String file, ReleaseSession session)
      throws ConfigException, AgreementException {
    RolloutSnapshot snapshot = session.rollouts().snapshot();
    RolloutPlan plan = readPlan(file, snapshot);
    new ReleasePlanPrinter(plan)
        .print(snapshot, session.observed().read(plan.kind(), snapshot.fleet()).reasons());
  }

  private int drain(String server, ReleaseSession session)
      throws AgreementException, InterruptedException {
    RolloutSnapshot snapshot = session.rollouts().snapshot();
    return cacheDrain(session)
        .drain(server, session.observed().read(InstanceKind.CACHE, snapshot.fleet()));
  }

  private CacheDrain cacheDrain(ReleaseSession session) {
    return new CacheDrain(session.agreement(), session.permits(), author, reason, waitSeconds);
  }

  private static void writeReport(String file, RolloutAdmin rollouts)
      throws AgreementException, ConfigException {
    try {
      Files.writeString(Path.of(file), ReleaseReport.of(rollouts));
      System.out.println("written to " + file);
    } catch (IOException e) {
      throw new ConfigException(file + ": cannot be written: " + e.getClass().getSimpleName());
    }
  }
}
