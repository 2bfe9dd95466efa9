package beaconturn.release;

import beaconturn.agreement.AgreementSnapshot;
import java.util.List;

/**
 * What a driver knows of the versions that routers agree on.
 *
 * @param seen what is in force and proposed
 * @param nextNumber the number of the version that is proposed next
 * @param waiting whom the step at hand waits for
 * @param atMillis the wall clock, for the version's history
 */
public record AgreedVersions(
    AgreementSnapshot seen, long nextNumber, List<String> waiting, long atMillis) {
  /** Whether that version is settled: all routers act on it, or on one after it. */
  boolean settled(long number) {
    return seen.settledNumber() >= number;
  }

  /** Whether that version was turned down: it is neither proposed nor in force. */
  boolean turnedDown(long number) {
    return seen.proposedNumber() != number && seen.current().number() < number;
  }
}
