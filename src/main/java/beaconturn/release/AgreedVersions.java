package beaconturn.release;

import beaconturn.agreement.AgreementSnapshot;
import java.util.List;

/**
 * What a driver knows of the configuration versions that the routers agree on.
 *
 * @param snapshot what is in force and proposed
 * @param nextNumber number of the version that is proposed next
 * @param waitingFor routers that the open version waits for
 * @param atMillis wall clock time in milliseconds, for the history of the version
 */
public record AgreedVersions(
    AgreementSnapshot snapshot, long nextNumber, List<String> waitingFor, long atMillis) {
  /** Whether all routers act on that version, or on a later one. */
  boolean isSettled(long versionNumber) {
    return snapshot.settledNumber() >= versionNumber;
  }

  /** Whether that version was rejected: it is neither proposed nor in force. */
  boolean isRejected(long versionNumber) {
    return snapshot.proposedNumber() != versionNumber
        && snapshot.current().number() < versionNumber;
  }
}
