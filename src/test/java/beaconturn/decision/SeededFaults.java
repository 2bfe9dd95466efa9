package beaconturn.decision;

import java.util.List;

/** Injects faults around the router of {@link SeededTraffic}, drawn from the same seed. */
final class SeededFaults {
  private static final long MS = SeededTraffic.MS;
  private static final Fault[] FAULTS = Fault.values();
  private final SeededTraffic traffic;

  /** Kinds of faults; a restart is listed twice to make it twice as likely. */
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
    SECOND_RESTART,
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

  /** Injects a fault and schedules the next one, as long as requests arrive. */
  void injectNext() {
    if (traffic.arrivedCount >= traffic.scenario.arrivals()) {
      return;
    }
    SeededServer server =
        traffic.servers.get(1L + traffic.random.nextInt(traffic.scenario.caches()));
    long delayNanos = (100 + traffic.random.nextInt(900)) * MS;
    inject(FAULTS[traffic.random.nextInt(FAULTS.length)], server, delayNanos);
    traffic.schedule((50 + traffic.random.nextInt(150)) * MS, this::injectNext);
  }

  private void inject(Fault fault, SeededServer server, long delayNanos) {
    switch (fault) {
      case SLOW_SERVER -> {
        server.slowness = 12;
        traffic.schedule(delayNanos, () -> server.slowness = 1);
      }
      case FAILING_SERVER -> {
        server.errorPercent = 70;
        traffic.schedule(delayNanos, () -> server.errorPercent = 0);
      }
      case UNREACHABLE_SERVER -> {
        server.down = true;
        traffic.schedule(delayNanos, () -> server.down = false);
      }
      case BURST -> {
        traffic.arrivalGapFactor = 0.15;
        traffic.schedule(delayNanos, () -> traffic.arrivalGapFactor = 1);
      }
      case SLOW_ORIGIN -> {
        traffic.originSlowness = 12;
        traffic.schedule(delayNanos, () -> traffic.originSlowness = 1);
      }
      case ROUTER_MACHINE -> traffic.machineFailsUntilNanos = traffic.nowNanos + delayNanos / 8;
      case OPERATOR_OVERRIDE -> {
        traffic.schedule(0, () -> overrideServer(server, true));
        traffic.schedule(delayNanos, () -> overrideServer(server, false));
      }
      case ZONE_WEIGHTS -> changeZoneWeights();
      default -> injectListFault(fault, server, delayNanos);
    }
  }

  private void injectListFault(Fault fault, SeededServer server, long delayNanos) {
    switch (fault) {
      case RESTART, SECOND_RESTART -> {
        server.bootTimeNanos = traffic.nowNanos - traffic.random.nextInt(1000) * MS;
        server.keys.clear();
        traffic.sendDelta(server);
      }
      case DRAIN -> {
        server.health = EndpointHealth.DRAINING;
        traffic.sendDelta(server);
        traffic.schedule(delayNanos, () -> restore(server));
      }
      case REMOVAL -> {
        server.health = EndpointHealth.GONE;
        traffic.sendDelta(server);
        traffic.schedule(delayNanos, () -> restore(server));
      }
      case NEW_RATING -> {
        server.rating = 0.5 + traffic.random.nextDouble() * 3;
        traffic.sendDelta(server);
      }
      case FAILED_LIST -> traffic.sendList(EndpointListKind.FAILED, List.of());
      case INCOMPLETE_LIST -> {
        List<Endpoint> incompleteList = traffic.fullList();
        incompleteList.removeIf(e -> e.serverId() == server.id);
        traffic.sendList(EndpointListKind.FULL, incompleteList);
        traffic.schedule(
            delayNanos, () -> traffic.sendList(EndpointListKind.FULL, traffic.fullList()));
      }
      case CACHED_LIST -> traffic.sendList(EndpointListKind.CACHED, traffic.fullList());
      case FAILING_ORIGIN -> {
        SeededServer origin = traffic.servers.get(SeededTraffic.FIRST_ORIGIN);
        SeededServer failing = origin == null ? server : origin;
        failing.errorPercent = 40;
        traffic.schedule(delayNanos, () -> failing.errorPercent = 0);
      }
      default -> {
        traffic.port.handle(new RoutingEvent.TimerFired(traffic.random.nextLong()));
        traffic.port.handle(
            new RoutingEvent.ProbeCompleted(
                server.id, AttemptOutcome.OK, MS, SeededTraffic.NO_REPORT));
        traffic.port.handle(new RoutingEvent.PeerMessageReceived(1, new byte[0]));
        traffic.port.handle(new RoutingEvent.RequestCancelled(1L << 40));
      }
    }
  }

  private void restore(SeededServer server) {
    server.health = EndpointHealth.READY;
    traffic.sendDelta(server);
  }

  private void overrideServer(SeededServer server, boolean excluded) {
    traffic.port.handle(
        new RoutingEvent.OperatorOverrideChanged(server.id, excluded, traffic.nowNanos));
  }

  private void changeZoneWeights() {
    if (!traffic.scenario.zoneWeights()) {
      return;
    }
    boolean overflow = traffic.random.nextBoolean();
    ZoneWeights weights =
        switch (traffic.random.nextInt(4)) {
          case 0 -> ZoneWeights.UNWEIGHTED;
          case 1 -> new ZoneWeights(List.of(0, 1, 2), List.of(600, 300, 100), overflow);
          case 2 -> new ZoneWeights(List.of(0, 1), List.of(960, 40), overflow);
          default -> new ZoneWeights(List.of(0, 2), List.of(500, 450), overflow);
        };
    traffic.port.handle(new RoutingEvent.ZoneWeightsChanged(weights));
  }
}
