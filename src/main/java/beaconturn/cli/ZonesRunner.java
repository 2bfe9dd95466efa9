package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.net.ConfigException;
import beaconturn.net.agreement.AgreementConfig;
import beaconturn.net.agreement.StoreClient;
import beaconturn.release.DisruptionPermitAdmin;
import beaconturn.release.RolloutKeys;
import beaconturn.zones.RegionDistanceCheck;
import beaconturn.zones.ZoneOverride;
import beaconturn.zones.ZoneOverrideKind;
import beaconturn.zones.ZonePlan;
import beaconturn.zones.ZoneReport;
import beaconturn.zones.ZoneState;
import beaconturn.zones.ZoneTopology;
import beaconturn.zones.ZonesAdmin;
import beaconturn.zones.ZonesKeys;
import beaconturn.zones.ZonesSnapshot;
import java.util.Locale;

/** Carries out one order to places. */
record ZonesRunner(String features, String reason, String author, int seconds, int near) {
  private static final int WRONG = 1;
  private static final int USAGE = 2;
  private static final int NOT_NOW = 3;
  private static final long SECOND = 1_000_000_000;
  private static final long CALL = 5 * SECOND;

  int run(String order, String zone) {
    try {
      AgreementConfig config = FeaturesFile.required(features);
      ZoneTopology map = FeaturesFile.requiredPlaces(features);
      StoreClient store = new StoreClient(config.endpoints(), CALL);
      try {
        return carryOut(
            order,
            zone,
            map,
            new ZonesAdmin(new ZonesKeys(config.fleet()), map, store),
            new DisruptionPermitAdmin(
                new RolloutKeys(config.fleet()), store, author, AgentRunner::now));
      } finally {
        store.close();
      }
    } catch (ConfigException e) {
      System.err.println("zones: " + e.getMessage());
      return WRONG;
    } catch (AgreementException e) {
      System.err.println("zones " + order + ": " + e.getMessage());
      return e.getMessage().startsWith("the store does not answer") ? WRONG : NOT_NOW;
    }
  }

  private int carryOut(
      String order, String zone, ZoneTopology map, ZonesAdmin desk, DisruptionPermitAdmin permits)
      throws AgreementException {
    switch (order) {
      case "show" -> {
        ZonesSnapshot scene = desk.readSnapshot();
        show(scene);
        RegionDistanceCheck.doubts(map, scene.reports()).forEach(System.out::println);
      }
      case "history" -> desk.history().forEach(plan -> System.out.println(line(plan)));
      case "drain" ->
          System.out.println(
              desk.setOverride(
                  order(zone, ZoneOverrideKind.DRAIN), permits.zoneEvacuation(zone, reason)));
      case "hold" -> System.out.println(desk.setOverride(order(zone, ZoneOverrideKind.HOLD)));
      case "weight" -> System.out.println(desk.setOverride(order(zone, ZoneOverrideKind.WEIGHT)));
      case "free" -> System.out.println(desk.clearOverride(zone));
      default -> {
        System.err.println("zones: unknown order '" + order + "', see 'zones --help'");
        return USAGE;
      }
    }
    return 0;
  }

  private ZoneOverride order(String zone, ZoneOverrideKind what) {
    return new ZoneOverride(zone, what, near, seconds * SECOND, author, reason);
  }

  private static String line(ZonePlan plan) {
    return "plan " + plan.number() + " by " + plan.leader() + ": " + plan.reason();
  }

  private static void show(ZonesSnapshot scene) {
    System.out.println(scene.plan() == null ? "no plan: all near" : line(scene.plan()));
    if (scene.plan() != null) {
      scene
          .plan()
          .allocations()
          .forEach(
              (place, row) ->
                  System.out.println(
                      "  "
                          + place
                          + " "
                          + scene
                              .plan()
                              .states()
                              .getOrDefault(place, ZoneState.NEAR)
                              .name()
                              .toLowerCase(Locale.ROOT)
                              .replace('_', ' ')
                          + ": "
                          + row.weights()));
    }
    System.out.println("office: " + (scene.leader().isEmpty() ? "nobody" : scene.leader()));
    scene
        .overrides()
        .forEach(
            o ->
                System.out.println(
                    "  "
                        + o.zone()
                        + " "
                        + o.kind().name().toLowerCase(Locale.ROOT)
                        + " by "
                        + o.author()
                        + ": "
                        + o.reason()));
    for (ZoneReport r : scene.reports()) {
      StringBuilder places = new StringBuilder();
      r.zones()
          .forEach(
              (place, s) ->
                  places.append(
                      String.format(
                          Locale.ROOT,
                          "; %s %d good, %d bad, %d of %d servers warm, %d ejected",
                          place,
                          s.goodAttempts(),
                          s.badAttempts(),
                          s.warmServers(),
                          s.listedServers(),
                          s.ejectedServers())));
      System.out.println(
          "  " + r.router() + " at " + r.homeZone() + " acts on plan " + r.planNumber() + places);
    }
  }
}
