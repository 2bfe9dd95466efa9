package beaconturn.agreement;

import java.util.function.Consumer;

/** Decides a member's vote on a proposed version. Confined to the member's thread. */
final class VersionVoter {
  private final ConfigContent localContent;
  private final AgreementCallbacks callbacks;
  private final Consumer<String> log;

  /** Number of the version that was nacked last, or 0. */
  private long nackedNumber;

  private String nackReason = "";

  /** Number of the version that the router was last found not ready for; logged once. */
  private long notReadyForNumber;

  VersionVoter(ConfigContent localContent, AgreementCallbacks callbacks, Consumer<String> log) {
    this.localContent = localContent;
    this.callbacks = callbacks;
    this.log = log;
  }

  long nackedNumber() {
    return nackedNumber;
  }

  String nackReason() {
    return nackReason;
  }

  /** Returns the proposed version if the member acks it, or null on a nack or if not ready yet. */
  ConfigVersion vote(AgreementSnapshot snapshot) {
    if (nackedNumber == snapshot.proposedNumber()) {
      return null;
    }
    String objection = objection(snapshot);
    if (objection != null) {
      nack(snapshot.proposedNumber(), objection);
      log.accept("agreement: says no to version " + nackedNumber + ": " + nackReason);
      return null;
    }
    if (!callbacks.isReadyFor(snapshot.proposed().content().withDefaults(localContent))) {
      logNotReady(snapshot.proposedNumber());
      return null;
    }
    log.accept("agreement: says yes to version " + snapshot.proposed().number());
    return snapshot.proposed();
  }

  void nack(long number, String reason) {
    nackedNumber = number;
    nackReason = reason;
  }

  private String objection(AgreementSnapshot snapshot) {
    if (snapshot.proposed() == null) {
      return snapshot.unreadableReason();
    }
    return callbacks.objection(snapshot.proposed().content().withDefaults(localContent));
  }

  private void logNotReady(long number) {
    if (notReadyForNumber != number) {
      notReadyForNumber = number;
      log.accept("agreement: has not the list yet that version " + number + " asks for");
    }
  }
}
