package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementSnapshot;
import beaconturn.agreement.ConfigAdmin;
import beaconturn.agreement.ConfigContent;
import beaconturn.release.DisruptionPermitAdmin;
import beaconturn.release.InstanceKind;
import beaconturn.release.Unavailability;
import java.util.TreeSet;

/**
 * Drains a cache server outside of a release: takes a disruption permit, then proposes a
 * configuration version that excludes the server. The drain is complete once all routers act on
 * that version.
 *
 * @param agreement where the configuration version is proposed
 * @param permits where the disruption permit is taken and returned
 * @param author author of the drain, for the history
 * @param reason reason of the drain, for the history
 * @param waitSeconds how long to wait until all routers act on the version
 */
record CacheDrain(
    ConfigAdmin agreement,
    DisruptionPermitAdmin permits,
    String author,
    String reason,
    int waitSeconds) {
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final long POLL_INTERVAL_MILLIS = 100;

  /** Drains a cache server and returns the exit status. */
  int drain(String server, Unavailability observed)
      throws AgreementException, InterruptedException {
    long permit = permits.takePermit(InstanceKind.CACHE, server, reason, observed);
    System.out.println(server + " is out under permit " + permit);
    return exclude(server, true);
  }

  /** Puts a drained cache server back into service and returns the exit status. */
  int undrain(String server) throws AgreementException, InterruptedException {
    int status = exclude(server, false);
    if (status == 0) {
      System.out.println(permits.returnPermit(InstanceKind.CACHE, server, reason));
    }
    return status;
  }

  private int exclude(String server, boolean excluded)
      throws AgreementException, InterruptedException {
    long deadlineNanos = System.nanoTime() + waitSeconds * NANOS_PER_SECOND;
    long version = propose(server, excluded, deadlineNanos);
    while (System.nanoTime() < deadlineNanos) {
      if (agreement.status().snapshot().settledNumber() >= version) {
        String outcome = excluded ? "nobody sends to %s any more" : "all may send to %s";
        System.out.println(outcome.replace("%s", server) + ": version " + version + " is settled");
        return 0;
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    System.err.println(
        "version "
            + version
            + " is not settled yet, it waits for "
            + String.join(", ", agreement.status().awaitedMembers()));
    return ReleaseRunner.EXIT_NOT_NOW;
  }

  /**
   * Proposes the version, unless the one in force already has the server as requested; retries
   * until the deadline while another version is open. Returns the number of the version.
   */
  private long propose(String server, boolean excluded, long deadlineNanos)
      throws AgreementException, InterruptedException {
    while (true) {
      AgreementSnapshot snapshot = agreement.status().snapshot();
      boolean asRequested =
          snapshot.current().content().excludedServers().contains(server) == excluded;
      if (!snapshot.hasOpenStep() && asRequested) {
        return snapshot.current().number();
      }
      try {
        return agreement.propose(
            content -> withExcluded(content, server, excluded),
            author,
            reason,
            System.currentTimeMillis());
      } catch (AgreementException e) {
        if (System.nanoTime() > deadlineNanos) {
          throw e;
        }
        Thread.sleep(POLL_INTERVAL_MILLIS);
      }
    }
  }

  private static ConfigContent withExcluded(
      ConfigContent content, String server, boolean excluded) {
    TreeSet<String> excludedServers = new TreeSet<>(content.excludedServers());
    if (excluded) {
      excludedServers.add(server);
    } else {
      excludedServers.remove(server);
    }
    return new ConfigContent(
        content.classes(),
        content.maxAttempts(),
        content.hedging(),
        content.minListVersion(),
        excludedServers);
  }
}
