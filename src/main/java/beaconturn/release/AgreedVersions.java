package beaconturn.release;

import beaconturn.agreement.AgreementSnapshot;
import java.util.List;

/**
 * The configuration versions that the routers agree on, as read by a driver.
 *
 * @param snapshot versions in force and proposed
 * @param nextNumber number of the next version to propose
 * @param awaitedRouters routers that the open version still waits for
 * @param atMillis wall clock time, for the history of the version
 */
public record AgreedVersions(
    AgreementSnapshot snapshot, long nextNumber, List<String> awaitedRouters, long atMillis) {
  /** Returns whether all routers act on a version or a later one. */
  boolean isSettled(long versionNumber) {
    return snapshot.settledNumber() >= versionNumber;
  }

  /** Returns whether a version was rejected: it is neither proposed nor in force. */
  boolean isRejected(long versionNumber) {
    return snapshot.proposedNumber() != versionNumber
        && snapshot.current().number() < versionNumber;
  }
}
