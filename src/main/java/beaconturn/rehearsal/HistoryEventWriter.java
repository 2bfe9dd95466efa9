package beaconturn.rehearsal;

import beaconturn.history.History;
import beaconturn.history.HistoryEvent;
import beaconturn.standin.CacheCommand;
import beaconturn.standin.CacheResponse;
import beaconturn.standin.EndpointListing;
import beaconturn.standin.HistoryRecorder;

/** Records what the stand-ins observe as events of the history. */
final class HistoryEventWriter implements HistoryRecorder {
  private final History history;

  HistoryEventWriter(History history) {
    this.history = history;
  }

  @Override
  public void commandReceived(
      long atNanos, String server, int router, long connection, CacheCommand command, long work) {
    history.add(
        new HistoryEvent.AttemptArrived(
            atNanos,
            command.firstByteNanos(),
            command.turn(),
            command.number(),
            server,
            router,
            connection,
            command.id(),
            command.requestClass(),
            command.key(),
            work));
  }

  @Override
  public void responseSent(long atNanos, CacheCommand command, CacheResponse reply) {
    if (reply instanceof CacheResponse.Value value) {
      recordAnswer(atNanos, command, HistoryEvent.ServerResponse.VALUE, value);
    } else if (reply instanceof CacheResponse.Corrupted corrupted) {
      // In these cases the value itself is intact, and routers may forward it.
      boolean hasValidValue =
          switch (corrupted.corruption()) {
            case DUPLICATED, TRAILING_NOISE, INVALID_LOAD_REPORT -> true;
            default -> false;
          };
      recordAnswer(
          atNanos,
          command,
          hasValidValue
              ? HistoryEvent.ServerResponse.VALUE
              : HistoryEvent.ServerResponse.DAMAGED_VALUE,
          corrupted.value());
    } else {
      HistoryEvent.ServerResponse serverAnswer =
          reply instanceof CacheResponse.Busy
              ? HistoryEvent.ServerResponse.BUSY
              : HistoryEvent.ServerResponse.ERROR;
      history.add(new HistoryEvent.ResponseSent(atNanos, command.number(), serverAnswer, 0));
    }
  }

  private void recordAnswer(
      long atNanos,
      CacheCommand command,
      HistoryEvent.ServerResponse serverAnswer,
      CacheResponse.Value value) {
    history.add(
        new HistoryEvent.ResponseSent(
            atNanos, command.number(), serverAnswer, History.digest(value.bytes())));
  }

  @Override
  public void commandExecuted(long atNanos, CacheCommand command, boolean repeat) {
    history.add(new HistoryEvent.CommandExecuted(atNanos, command.number(), repeat));
  }

  @Override
  public void connectionClosed(long atNanos, long turn, long connection) {
    history.add(new HistoryEvent.ServerConnectionEnded(atNanos, turn, connection));
  }

  @Override
  public void serverStarted(long atNanos, EndpointListing server, double capacity) {
    history.add(
        new HistoryEvent.CacheServerStarted(
            atNanos,
            server.host(),
            server.site(),
            server.block(),
            server.startedAtNanos(),
            capacity));
  }

  @Override
  public void serverStopped(long atNanos, String server) {
    history.add(new HistoryEvent.CacheServerStopped(atNanos, server));
  }

  @Override
  public void overloaded(long atNanos, String server) {
    history.add(new HistoryEvent.ServerCollapsed(atNanos, server));
  }

  @Override
  public void originCalled(long atNanos, String server, boolean cold, int inOrigin) {
    history.add(new HistoryEvent.OriginFetched(atNanos, server, cold, inOrigin));
  }

  @Override
  public void listingChanged(long atNanos, String server, EndpointListing.Health health) {
    history.add(new HistoryEvent.ListingChanged(atNanos, server, state(health)));
  }

  @Override
  public void routerNotified(
      long atNanos, int router, String server, EndpointListing.Health health, long born) {
    history.add(new HistoryEvent.RouterNotified(atNanos, router, server, state(health), born));
  }

  private static HistoryEvent.ListingState state(EndpointListing.Health health) {
    return HistoryEvent.ListingState.valueOf(health.name());
  }

  @Override
  public void discoveryCalled(long atNanos, int router) {
    history.add(new HistoryEvent.DiscoveryPolled(atNanos, router));
  }

  @Override
  public void discoveryAvailability(long atNanos, boolean up) {
    history.add(new HistoryEvent.DiscoveryReachability(atNanos, up));
  }

  @Override
  public void invalidInput(long atNanos, String server, int router, String reason) {
    history.add(new HistoryEvent.UnreadableCommand(atNanos, server, router, reason));
  }
}
