package beaconturn.agreement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The steps of a version through the store, each one swap that holds only where what it was decided
 * on is still so: two that take the same step at the same time have taken it once, and nobody can
 * skip one.
 */
public final class AgreementTransactions {
  private final AgreementKeys keys;

  /** The steps below a fleet's prefix. */
  public AgreementTransactions(AgreementKeys keys) {
    this.keys = keys;
  }

  /** A step and what it is, in words. */
  public record Step(StoreRequest.Swap swap, String says) {}

  /** Begins an agreement in a store that has none; {@code identity} is to be new each time. */
  public StoreRequest.Swap begin(String identity) {
    return new StoreRequest.Swap(
        List.of(
            new StoreRequest.Condition.Unchanged(keys.identity(), 0),
            new StoreRequest.Condition.Unchanged(keys.current(), 0)),
        List.of(put(keys.identity(), identity), put(keys.settled(), "0")));
  }

  /**
   * Proposes the version that the content would be; refused in words while another step is open.
   */
  public Step propose(
      AgreementSnapshot seen,
      long number,
      ConfigContent content,
      String author,
      String reason,
      long atMillis)
      throws AgreementException {
    if (seen.identity().isEmpty()) {
      throw new AgreementException("no agreement was begun in this store: see 'agreement init'");
    }
    if (seen.nextNumber() != 0) {
      throw new AgreementException(
          "version " + seen.nextNumber() + " is proposed and not in force yet");
    }
    if (seen.settled() < seen.current().number()) {
      throw new AgreementException(
          "version "
              + seen.current().number()
              + " is in force and not settled yet: see 'agreement show' for who does not"
              + " act on it");
    }
    ConfigVersion next = ConfigVersion.of(number, content, author, reason, atMillis);
    return new Step(
        new StoreRequest.Swap(
            List.of(
                seen.unchanged(keys.identity()),
                seen.unchanged(keys.next()),
                seen.unchanged(keys.current()),
                seen.unchanged(keys.settled()),
                new StoreRequest.Condition.Unchanged(keys.history(number), 0)),
            List.of(
                put(keys.next(), ConfigCodec.of(next)),
                put(keys.history(number), ConfigCodec.of(next)))),
        "version " + number + " is proposed");
  }

  /** Takes the proposed version back, for a reason. */
  public Step withdraw(AgreementSnapshot seen, String why) throws AgreementException {
    if (seen.nextNumber() == 0) {
      throw new AgreementException("no version is proposed");
    }
    return new Step(
        new StoreRequest.Swap(
            List.of(seen.unchanged(keys.next()), seen.unchanged(keys.current())),
            List.of(
                new StoreRequest.Change.Delete(keys.next()),
                put(keys.refusal(seen.nextNumber()), why))),
        "version " + seen.nextNumber() + " is turned down: " + why);
  }

  /**
   * The step that is due, or null while somebody is waited for. A proposed version needs the yes of
   * every router on the roster, also of those out of reach: they may still act on the version in
   * force. One in force is settled once each router acts on it or has lost its lease, and so stands
   * on safe ground.
   */
  public Step due(AgreementSnapshot seen, StoreResponse.Given roster, StoreResponse.Given alive)
      throws AgreementException {
    List<MemberRecord> seats = seats(roster);
    if (seen.nextNumber() != 0) {
      for (MemberRecord seat : seats) {
        if (seat.no() == seen.nextNumber()) {
          return withdraw(seen, seat.name() + " says no: " + seat.why());
        }
      }
      boolean all =
          seen.next() != null && seats.stream().allMatch(s -> s.yes() >= seen.nextNumber());
      return all ? enforce(seen, roster.revision()) : null;
    }
    if (seen.settled() < seen.current().number() && waiting(seen, seats, alive).isEmpty()) {
      return new Step(
          new StoreRequest.Swap(
              List.of(
                  seen.unchanged(keys.current()),
                  seen.unchanged(keys.settled()),
                  new StoreRequest.Condition.NoneAfter(keys.rosters(), roster.revision())),
              List.of(put(keys.settled(), Long.toString(seen.current().number())))),
          "version " + seen.current().number() + " is settled");
    }
    return null;
  }

  /** Who is waited for, by name: for a yes, or to act on the version in force. */
  public List<String> waiting(
      AgreementSnapshot seen, List<MemberRecord> seats, StoreResponse.Given alive) {
    Set<String> living = new HashSet<>();
    alive.pairs().forEach(pair -> living.add(pair.key()));
    List<String> names = new ArrayList<>();
    for (MemberRecord seat : seats) {
      boolean waits =
          seen.nextNumber() != 0
              ? seat.yes() < seen.nextNumber()
              : seat.acts() < seen.current().number()
                  && living.contains(keys.alive(seat.name(), seat.incarnation()));
      if (waits) {
        names.add(seat.name());
      }
    }
    return names;
  }

  /** The routers of a roster as it was read. */
  public static List<MemberRecord> seats(StoreResponse.Given roster) throws AgreementException {
    List<MemberRecord> seats = new ArrayList<>();
    for (StoreResponse.Pair pair : roster.pairs()) {
      seats.add(MemberRecord.of(pair.value()));
    }
    return seats;
  }

  /** Nobody may have joined since the roster was read: its yes would be missing. */
  private Step enforce(AgreementSnapshot seen, long rosterRevision) {
    List<StoreRequest.Change> changes =
        new ArrayList<>(
            List.of(
                put(keys.current(), ConfigCodec.of(seen.next())),
                new StoreRequest.Change.Delete(keys.next())));
    if (seen.current().number() > 0) {
      changes.add(put(keys.previous(), ConfigCodec.of(seen.current())));
    }
    return new Step(
        new StoreRequest.Swap(
            List.of(
                seen.unchanged(keys.next()),
                seen.unchanged(keys.current()),
                new StoreRequest.Condition.NoneAfter(keys.rosters(), rosterRevision)),
            changes),
        "version " + seen.nextNumber() + " is in force");
  }

  private static StoreRequest.Change put(String key, String value) {
    return new StoreRequest.Change.Put(key, value, 0);
  }
}
