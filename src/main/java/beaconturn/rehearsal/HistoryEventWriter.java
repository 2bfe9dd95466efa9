package beaconturn.rehearsal;

import beaconturn.history.History;
import beaconturn.history.HistoryEvent;
import beaconturn.standin.CacheCommand;
import beaconturn.standin.CacheResponse;
import beaconturn.standin.EndpointListing;
import beaconturn.standin.HistoryRecorder;

/** Writes what the stand-ins see into the account. */
final class HistoryEventWriter implements HistoryRecorder {
  private final History account;

  HistoryEventWriter(History account) {
    this.account = account;
  }

  @Override
  public void commanded(
      long at, String server, int router, long connection, CacheCommand c, long work) {
    account.add(
        new HistoryEvent.AttemptArrived(
            at,
            c.firstByteAt(),
            c.turn(),
            c.number(),
            server,
            router,
            connection,
            c.id(),
            c.requestClass(),
            c.key(),
            work));
  }

  @Override
  public void replied(long at, CacheCommand command, CacheResponse reply) {
    if (reply instanceof CacheResponse.Value value) {
      made(at, command, HistoryEvent.ServerAnswer.VALUE, value);
    } else if (reply instanceof CacheResponse.Spoilt spoilt) {
      // What comes before a second copy, noise or an odd report is good and may be passed on.
      boolean good =
          switch (spoilt.way()) {
            case SECOND_COPY, NOISE_BEHIND, ODD_REPORT -> true;
            default -> false;
          };
      made(
          at,
          command,
          good ? HistoryEvent.ServerAnswer.VALUE : HistoryEvent.ServerAnswer.DAMAGED_VALUE,
          spoilt.value());
    } else {
      HistoryEvent.ServerAnswer made =
          reply instanceof CacheResponse.Busy
              ? HistoryEvent.ServerAnswer.BUSY
              : HistoryEvent.ServerAnswer.ERROR;
      account.add(new HistoryEvent.CommandAnswered(at, command.number(), made, 0));
    }
  }

  private void made(
      long at, CacheCommand command, HistoryEvent.ServerAnswer made, CacheResponse.Value value) {
    account.add(
        new HistoryEvent.CommandAnswered(
            at, command.number(), made, History.digest(value.bytes())));
  }

  @Override
  public void executed(long at, CacheCommand command, boolean repeat) {
    account.add(new HistoryEvent.CommandExecuted(at, command.number(), repeat));
  }

  @Override
  public void ended(long at, long turn, long connection) {
    account.add(new HistoryEvent.ServerConnectionEnded(at, turn, connection));
  }

  @Override
  public void started(long at, EndpointListing server, double capacity) {
    account.add(
        new HistoryEvent.CacheServerStarted(
            at, server.host(), server.site(), server.block(), server.born(), capacity));
  }

  @Override
  public void down(long at, String server) {
    account.add(new HistoryEvent.CacheServerStopped(at, server));
  }

  @Override
  public void collapsed(long at, String server) {
    account.add(new HistoryEvent.ServerCollapsed(at, server));
  }

  @Override
  public void fetched(long at, String server, boolean cold, int inOrigin) {
    account.add(new HistoryEvent.OriginFetched(at, server, cold, inOrigin));
  }

  @Override
  public void listed(long at, String server, EndpointListing.Health health) {
    account.add(new HistoryEvent.ListingChanged(at, server, state(health)));
  }

  @Override
  public void told(long at, int router, String server, EndpointListing.Health health, long born) {
    account.add(new HistoryEvent.RouterNotified(at, router, server, state(health), born));
  }

  private static HistoryEvent.ListingState state(EndpointListing.Health health) {
    return HistoryEvent.ListingState.valueOf(health.name());
  }

  @Override
  public void asked(long at, int router) {
    account.add(new HistoryEvent.DiscoveryPolled(at, router));
  }

  @Override
  public void discovery(long at, boolean up) {
    account.add(new HistoryEvent.DiscoveryReachability(at, up));
  }

  @Override
  public void unreadable(long at, String server, int router, String why) {
    account.add(new HistoryEvent.UnreadableCommand(at, server, router, why));
  }
}
