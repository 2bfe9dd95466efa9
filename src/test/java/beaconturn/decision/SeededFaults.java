package beaconturn.decision;

import java.util.List;

/** What goes wrong around the router of {@link SeededTraffic}, drawn from the same seed. */
final class SeededFaults {
  private static final long MS = SeededTraffic.MS;
  private static final Fault[] FAULTS = Fault.values();
  private final SeededTraffic traffic;

  /** What can go wrong; a restart is twice as likely as the others. */
  private enum Fault {
    SLOW_SERVER,
    FAILING_SERVER,
    UNREACHABLE_SERVER,
    BURST,
    SLOW_ORIGIN,
    ROUTER_MACHINE,
    OPERATOR_OVERRIDE,
    ZONE_WEIGHTS,
    RESTART,
    RESTART_TOO,
    DRAIN,
    REMOVAL,
    NEW_RATING,
    FAILED_LIST,
    INCOMPLETE_LIST,
    CACHED_LIST,
    FAILING_ORIGIN,
    STRAY_EVENTS
  }

  SeededFaults(SeededTraffic traffic) {
    this.traffic = traffic;
  }

  /** Lets something go wrong now, and again before long, as long as requests arrive. */
  void next() {
    if (traffic.arrived >= traffic.shape.arrivals()) {
      return;
    }
    SeededServer server = traffic.servers.get(1L + traffic.chance.nextInt(traffic.shape.caches()));
    long until = (100 + traffic.chance.nextInt(900)) * MS;
    disturb(FAULTS[traffic.chance.nextInt(FAULTS.length)], server, until);
    traffic.after((50 + traffic.chance.nextInt(150)) * MS, this::next);
  }

  private void disturb(Fault fault, SeededServer server, long until) {
    switch (fault) {
      case SLOW_SERVER -> {
        server.slowness = 12;
        traffic.after(until, () -> server.slowness = 1);
      }
      case FAILING_SERVER -> {
        server.errorPercent = 70;
        traffic.after(until, () -> server.errorPercent = 0);
      }
      case UNREACHABLE_SERVER -> {
        server.down = true;
        traffic.after(until, () -> server.down = false);
      }
      case BURST -> {
        traffic.pace = 0.15;
        traffic.after(until, () -> traffic.pace = 1);
      }
      case SLOW_ORIGIN -> {
        traffic.originSlowness = 12;
        traffic.after(until, () -> traffic.originSlowness = 1);
      }
      case ROUTER_MACHINE -> traffic.machineFailsUntil = traffic.now + until / 8;
      case OPERATOR_OVERRIDE -> {
        traffic.after(0, () -> override(server, true));
        traffic.after(until, () -> override(server, false));
      }
      case ZONE_WEIGHTS -> weigh();
      default -> disturbList(fault, server, until);
    }
  }

  private void disturbList(Fault fault, SeededServer server, long until) {
    switch (fault) {
      case RESTART, RESTART_TOO -> {
        server.bootTime = traffic.now - traffic.chance.nextInt(1000) * MS;
        server.keys.clear();
        traffic.delta(server);
      }
      case DRAIN -> {
        server.health = EndpointHealth.DRAINING;
        traffic.delta(server);
        traffic.after(until, () -> ready(server));
      }
      case REMOVAL -> {
        server.health = EndpointHealth.GONE;
        traffic.delta(server);
        traffic.after(until, () -> ready(server));
      }
      case NEW_RATING -> {
        server.rating = 0.5 + traffic.chance.nextDouble() * 3;
        traffic.delta(server);
      }
      case FAILED_LIST -> traffic.list(EndpointListKind.FAILED, List.of());
      case INCOMPLETE_LIST -> {
        List<Endpoint> most = traffic.wholeList();
        most.removeIf(e -> e.serverId() == server.id);
        traffic.list(EndpointListKind.FULL, most);
        traffic.after(until, () -> traffic.list(EndpointListKind.FULL, traffic.wholeList()));
      }
      case CACHED_LIST -> traffic.list(EndpointListKind.CACHED, traffic.wholeList());
      case FAILING_ORIGIN -> {
        SeededServer origin = traffic.servers.get(SeededTraffic.FIRST_ORIGIN);
        SeededServer failing = origin == null ? server : origin;
        failing.errorPercent = 40;
        traffic.after(until, () -> failing.errorPercent = 0);
      }
      default -> {
        traffic.port.handle(new RoutingEvent.TimerFired(traffic.chance.nextLong()));
        traffic.port.handle(
            new RoutingEvent.ProbeCompleted(
                server.id, AttemptOutcome.OK, MS, SeededTraffic.NO_REPORT));
        traffic.port.handle(new RoutingEvent.PeerMessageReceived(1, new byte[0]));
        traffic.port.handle(new RoutingEvent.RequestCancelled(1L << 40));
      }
    }
  }

  private void ready(SeededServer server) {
    server.health = EndpointHealth.READY;
    traffic.delta(server);
  }

  private void override(SeededServer server, boolean excluded) {
    traffic.port.handle(new RoutingEvent.OperatorOverrideChanged(server.id, excluded, traffic.now));
  }

  private void weigh() {
    if (!traffic.shape.zoneWeights()) {
      return;
    }
    boolean overflow = traffic.chance.nextBoolean();
    ZoneWeights weights =
        switch (traffic.chance.nextInt(4)) {
          case 0 -> ZoneWeights.UNWEIGHTED;
          case 1 -> new ZoneWeights(List.of(0, 1, 2), List.of(600, 300, 100), overflow);
          case 2 -> new ZoneWeights(List.of(0, 1), List.of(960, 40), overflow);
          default -> new ZoneWeights(List.of(0, 2), List.of(500, 450), overflow);
        };
    traffic.port.handle(new RoutingEvent.ZoneWeightsChanged(weights));
  }
}
