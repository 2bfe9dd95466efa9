package beaconturn.zones;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * All that stands in the store of places, as of one revision.
 *
 * @param plan the plan at hand, or null where there never was one
 * @param office who decides, or empty
 * @param reports of the routers that hold leases of the store
 * @param orders of operators
 * @param changed when each key was last changed
 */
public record ZonesSnapshot(
    ZonePlan plan,
    String office,
    List<ZoneReport> reports,
    List<ZoneOverride> orders,
    Map<String, Long> changed) {
  /** Reads what a call for all of it was given; a report that cannot be read is nobody's. */
  public static ZonesSnapshot of(ZonesKeys keys, StoreResponse.Success given)
      throws AgreementException {
    ZonePlan plan = null;
    String office = "";
    List<ZoneReport> reports = new ArrayList<>();
    List<ZoneOverride> orders = new ArrayList<>();
    Map<String, Long> changed = new HashMap<>();
    for (StoreResponse.Entry pair : given.entries()) {
      changed.put(pair.key(), pair.modRevision());
      if (pair.key().equals(keys.plan())) {
        plan = ZonesCodec.plan(pair.value());
      } else if (pair.key().equals(keys.office())) {
        office = pair.value();
      } else if (pair.key().startsWith(keys.orders())) {
        orders.add(ZonesCodec.order(pair.value()));
      } else if (pair.key().startsWith(keys.reports())) {
        reports.add(ZonesCodec.report(pair.value()));
      }
    }
    return new ZonesSnapshot(plan, office, reports, orders, changed);
  }

  /** Places whose traffic is served elsewhere, or is to be, and why. */
  public SortedMap<String, String> out() {
    SortedMap<String, String> out = new TreeMap<>();
    if (plan != null) {
      plan.states()
          .forEach(
              (place, state) -> {
                if (state != ZonePlan.State.NEAR && state != ZonePlan.State.SPILLING) {
                  out.put(place, state.name().toLowerCase(Locale.ROOT).replace('_', ' '));
                }
              });
    }
    orders.stream()
        .filter(o -> o.what() == ZoneOverride.What.DRAIN)
        .forEach(
            o ->
                out.merge(
                    o.place(),
                    "drained by " + o.by() + ": " + o.reason(),
                    (state, order) -> state + ", " + order));
    return out;
  }

  /** The condition that the key is as it was read here. */
  StoreRequest.Condition unchanged(String key) {
    return new StoreRequest.Condition.Unchanged(key, changed.getOrDefault(key, 0L));
  }
}
