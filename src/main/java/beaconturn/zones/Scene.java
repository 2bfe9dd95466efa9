package beaconturn.zones;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.Answer;
import beaconturn.agreement.Call;
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
public record Scene(
    Plan plan, String office, List<Report> reports, List<Order> orders, Map<String, Long> changed) {
  /** Reads what a call for all of it was given; a report that cannot be read is nobody's. */
  public static Scene of(ZonesKeys keys, Answer.Given given) throws AgreementException {
    Plan plan = null;
    String office = "";
    List<Report> reports = new ArrayList<>();
    List<Order> orders = new ArrayList<>();
    Map<String, Long> changed = new HashMap<>();
    for (Answer.Pair pair : given.pairs()) {
      changed.put(pair.key(), pair.changed());
      if (pair.key().equals(keys.plan())) {
        plan = ZonesTexts.plan(pair.value());
      } else if (pair.key().equals(keys.office())) {
        office = pair.value();
      } else if (pair.key().startsWith(keys.orders())) {
        orders.add(ZonesTexts.order(pair.value()));
      } else if (pair.key().startsWith(keys.reports())) {
        reports.add(ZonesTexts.report(pair.value()));
      }
    }
    return new Scene(plan, office, reports, orders, changed);
  }

  /** Places whose traffic is served elsewhere, or is to be, and why. */
  public SortedMap<String, String> out() {
    SortedMap<String, String> out = new TreeMap<>();
    if (plan != null) {
      plan.states()
          .forEach(
              (place, state) -> {
                if (state != Plan.State.NEAR && state != Plan.State.SPILLING) {
                  out.put(place, state.name().toLowerCase(Locale.ROOT).replace('_', ' '));
                }
              });
    }
    orders.stream()
        .filter(o -> o.what() == Order.What.DRAIN)
        .forEach(
            o ->
                out.merge(
                    o.place(),
                    "drained by " + o.by() + ": " + o.reason(),
                    (state, order) -> state + ", " + order));
    return out;
  }

  /** The condition that the key is as it was read here. */
  Call.Condition unchanged(String key) {
    return new Call.Condition.Unchanged(key, changed.getOrDefault(key, 0L));
  }
}
