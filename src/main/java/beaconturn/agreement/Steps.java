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
public final class Steps {
  private final Keys keys;

  /** The steps below a fleet's prefix. */
  public Steps(Keys keys) {
    this.keys = keys;
  }

  /** A step and what it is, in words. */
  public record Step(Call.Swap swap, String says) {}

  /** Begins an agreement in a store that has none; {@code identity} is to be new each time. */
  public Call.Swap begin(String identity) {
    return new Call.Swap(
        List.of(
            new Call.Condition.Unchanged(keys.identity(), 0),
            new Call.Condition.Unchanged(keys.current(), 0)),
        List.of(put(keys.identity(), identity), put(keys.settled(), "0")));
  }

  /**
   * Proposes the version that the content would be; refused in words while another step is open.
   */
  public Step propose(
      Snapshot seen, long number, Content content, String author, String reason, long atMillis)
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
    Version next = Version.of(number, content, author, reason, atMillis);
    return new Step(
        new Call.Swap(
            List.of(
                seen.unchanged(keys.identity()),
                seen.unchanged(keys.next()),
                seen.unchanged(keys.current()),
                seen.unchanged(keys.settled()),
                new Call.Condition.Unchanged(keys.history(number), 0)),
            List.of(put(keys.next(), Texts.of(next)), put(keys.history(number), Texts.of(next)))),
        "version " + number + " is proposed");
  }

  /** Takes the proposed version back, for a reason. */
  public Step withdraw(Snapshot seen, String why) throws AgreementException {
    if (seen.nextNumber() == 0) {
      throw new AgreementException("no version is proposed");
    }
    return new Step(
        new Call.Swap(
            List.of(seen.unchanged(keys.next()), seen.unchanged(keys.current())),
            List.of(
                new Call.Change.Delete(keys.next()), put(keys.refusal(seen.nextNumber()), why))),
        "version " + seen.nextNumber() + " is turned down: " + why);
  }

  /**
   * The step that is due, or null while somebody is waited for. A proposed version needs the yes of
   * every router on the roster, also of those out of reach: they may still act on the version in
   * force. One in force is settled once each router acts on it or has lost its lease, and so stands
   * on safe ground.
   */
  public Step due(Snapshot seen, Answer.Given roster, Answer.Given alive)
      throws AgreementException {
    List<Seat> seats = seats(roster);
    if (seen.nextNumber() != 0) {
      for (Seat seat : seats) {
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
          new Call.Swap(
              List.of(
                  seen.unchanged(keys.current()),
                  seen.unchanged(keys.settled()),
                  new Call.Condition.NoneAfter(keys.rosters(), roster.revision())),
              List.of(put(keys.settled(), Long.toString(seen.current().number())))),
          "version " + seen.current().number() + " is settled");
    }
    return null;
  }

  /** Who is waited for, by name: for a yes, or to act on the version in force. */
  public List<String> waiting(Snapshot seen, List<Seat> seats, Answer.Given alive) {
    Set<String> living = new HashSet<>();
    alive.pairs().forEach(pair -> living.add(pair.key()));
    List<String> names = new ArrayList<>();
    for (Seat seat : seats) {
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
  public static List<Seat> seats(Answer.Given roster) throws AgreementException {
    List<Seat> seats = new ArrayList<>();
    for (Answer.Pair pair : roster.pairs()) {
      seats.add(Seat.of(pair.value()));
    }
    return seats;
  }

  /** Nobody may have joined since the roster was read: its yes would be missing. */
  private Step enforce(Snapshot seen, long rosterRevision) {
    List<Call.Change> changes =
        new ArrayList<>(
            List.of(
                put(keys.current(), Texts.of(seen.next())), new Call.Change.Delete(keys.next())));
    if (seen.current().number() > 0) {
      changes.add(put(keys.previous(), Texts.of(seen.current())));
    }
    return new Step(
        new Call.Swap(
            List.of(
                seen.unchanged(keys.next()),
                seen.unchanged(keys.current()),
                new Call.Condition.NoneAfter(keys.rosters(), rosterRevision)),
            changes),
        "version " + seen.nextNumber() + " is in force");
  }

  private static Call.Change put(String key, String value) {
    return new Call.Change.Put(key, value, 0);
  }
}
