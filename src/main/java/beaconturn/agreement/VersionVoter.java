package beaconturn.agreement;

import java.util.function.Consumer;

/** A member's vote on a proposed version: ack, nack, or neither yet. For the member's thread. */
final class VersionVoter {
  private final ConfigContent localContent;
  private final AgreementCallbacks callbacks;
  private final Consumer<String> log;

  /** The version nacked last, or 0. */
  private long nackedNumber;

  private String nackReason = "";

  /** The version last found to ask for what the router has not; to log it once. */
  private long awaitedNumber;

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

  /** The proposed version if it is acked, else null. */
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
      logAwaited(snapshot.proposedNumber());
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

  private void logAwaited(long number) {
    if (awaitedNumber != number) {
      awaitedNumber = number;
      log.accept("agreement: has not the list yet that version " + number + " asks for");
    }
  }
}
