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
 * Carries out one order of an operator to releases.
 *
 * @param featuresFile file with the [agreement] section
 * @param reason why, for the history
 * @param author who, for the history
 * @param kind word of the kind of an instance that is lost
 * @param waitSeconds how long a drain waits until all routers have stopped sending
 * @param json whether the state is printed as JSON
 */
record ReleaseRunner(
    String featuresFile, String reason, String author, String kind, int waitSeconds, boolean json) {
  /** Exit status: wrong input, or the store does not answer. */
  private static final int WRONG = 1;

  /** Exit status: wrong usage. */
  private static final int USAGE = 2;

  /** Exit status: not allowed as things are, or not done in time. */
  static final int NOT_NOW = 3;

  private static final long CALL_TIMEOUT_NANOS = 5_000_000_000L;

  /** What orders work with while the store is connected. */
  private record ReleaseSession(
      RolloutAdmin rollouts,
      DisruptionPermitAdmin permits,
      ConfigAdmin agreement,
      ObservedUnavailability observed) {}

  /** Carries out the order; the exit status. */
  int run(String order, String argument) {
    try {
      AgreementConfig config = FeaturesFile.required(featuresFile);
      StoreClient store = new StoreClient(config.endpoints(), CALL_TIMEOUT_NANOS);
      try {
        return carryOut(order, argument, session(config.fleet(), store));
      } finally {
        store.close();
      }
    } catch (ConfigException e) {
      System.err.println("release: " + e.getMessage());
      return WRONG;
    } catch (AgreementException e) {
      System.err.println("release " + order + ": " + e.getMessage());
      return e.getMessage().startsWith("the store does not answer") ? WRONG : NOT_NOW;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return WRONG;
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

  private int carryOut(String order, String argument, ReleaseSession session)
      throws ConfigException, AgreementException, InterruptedException {
    switch (order) {
      case "plan" -> plan(argument, session);
      case "drain" -> {
        return drain(argument, session);
      }
      case "undrain" -> {
        return cacheDrain(session).undrain(argument);
      }
      case "show" -> new ReleaseStatusPrinter(session.rollouts().snapshot()).print(json);
      case "report" -> report(argument, session.rollouts());
      case "history" -> session.rollouts().history().forEach(System.out::println);
      default -> {
        return change(order, argument, session);
      }
    }
    return 0;
  }

  /** Orders that change a release or a permit, and print what was done. */
  private int change(String order, String argument, ReleaseSession session)
      throws ConfigException, AgreementException {
    RolloutAdmin rollouts = session.rollouts();
    String done =
        switch (order) {
          case "fleet" -> rollouts.defineFleet(ReleaseFiles.fleet(argument));
          case "start" -> rollouts.start(readPlan(argument, rollouts.snapshot()));
          case "halt" -> rollouts.halt(reason);
          case "resume" -> rollouts.resume(reason);
          case "back" -> rollouts.rollBack(reason);
          case "abandon" -> rollouts.abandon(reason);
          case "lost" -> session.permits().returnPermit(kindOfLost(), argument, reason);
          default -> null;
        };
    if (done == null) {
      System.err.println("release: unknown order '" + order + "', see 'release --help'");
      return USAGE;
    }
    System.out.println(done);
    return 0;
  }

  private InstanceKind kindOfLost() {
    return InstanceKind.ofSerializedName(kind).orElse(InstanceKind.ROUTER);
  }

  private RolloutPlan readPlan(String file, RolloutSnapshot snapshot) throws ConfigException {
    return ReleaseFiles.plan(file, reason, snapshot.fleet());
  }

  /** Tells what a release would do, before it is started. */
  private void plan(String file, ReleaseSession session)
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

  private static void report(String file, RolloutAdmin rollouts)
      throws AgreementException, ConfigException {
    try {
      Files.writeString(Path.of(file), ReleaseReport.of(rollouts));
      System.out.println("written to " + file);
    } catch (IOException e) {
      throw new ConfigException(file + ": cannot be written: " + e.getClass().getSimpleName());
    }
  }
}
