package beaconturn.rehearsal;

import beaconturn.ledger.Account;
import beaconturn.ledger.Entry;
import beaconturn.standin.Command;
import beaconturn.standin.Listing;
import beaconturn.standin.Reply;
import beaconturn.standin.Witness;

/** Writes what the stand-ins see into the account. */
final class AccountWitness implements Witness {
  private final Account account;

  AccountWitness(Account account) {
    this.account = account;
  }

  @Override
  public void commanded(long at, String server, int router, long connection, Command c, long work) {
    account.add(
        new Entry.Sent(
            at,
            c.firstAt(),
            c.turn(),
            c.number(),
            server,
            router,
            connection,
            c.id(),
            c.type(),
            c.key(),
            work));
  }

  @Override
  public void replied(long at, Command command, Reply reply) {
    if (reply instanceof Reply.Value value) {
      made(at, command, Entry.Made.VALUE, value);
    } else if (reply instanceof Reply.Spoilt spoilt) {
      // What comes before a second copy, noise or an odd report is good and may be passed on.
      boolean good =
          switch (spoilt.way()) {
            case SECOND_COPY, NOISE_BEHIND, ODD_REPORT -> true;
            default -> false;
          };
      made(at, command, good ? Entry.Made.VALUE : Entry.Made.SPOILT, spoilt.value());
    } else {
      Entry.Made made = reply instanceof Reply.Busy ? Entry.Made.BUSY : Entry.Made.ERROR;
      account.add(new Entry.Replied(at, command.number(), made, 0));
    }
  }

  private void made(long at, Command command, Entry.Made made, Reply.Value value) {
    account.add(new Entry.Replied(at, command.number(), made, Account.digest(value.bytes())));
  }

  @Override
  public void executed(long at, Command command, boolean repeat) {
    account.add(new Entry.Ran(at, command.number(), repeat));
  }

  @Override
  public void ended(long at, long turn, long connection) {
    account.add(new Entry.Ended(at, turn, connection));
  }

  @Override
  public void started(long at, Listing server, double capacity) {
    account.add(
        new Entry.Started(
            at, server.host(), server.site(), server.block(), server.born(), capacity));
  }

  @Override
  public void down(long at, String server) {
    account.add(new Entry.Down(at, server));
  }

  @Override
  public void collapsed(long at, String server) {
    account.add(new Entry.Collapsed(at, server));
  }

  @Override
  public void fetched(long at, String server, boolean cold, int inOrigin) {
    account.add(new Entry.Fetched(at, server, cold, inOrigin));
  }

  @Override
  public void listed(long at, String server, Listing.Health health) {
    account.add(new Entry.Listed(at, server, state(health)));
  }

  @Override
  public void told(long at, int router, String server, Listing.Health health, long born) {
    account.add(new Entry.Told(at, router, server, state(health), born));
  }

  private static Entry.State state(Listing.Health health) {
    return Entry.State.valueOf(health.name());
  }

  @Override
  public void asked(long at, int router) {
    account.add(new Entry.Called(at, router));
  }

  @Override
  public void discovery(long at, boolean up) {
    account.add(new Entry.Reachable(at, up));
  }

  @Override
  public void unreadable(long at, String server, int router, String why) {
    account.add(new Entry.Unreadable(at, server, router, why));
  }
}
