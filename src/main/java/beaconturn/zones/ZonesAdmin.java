package beaconturn.zones;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.ConfigAdmin;
import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.ArrayList;
import java.util.List;

/** What operators do with places: each order reads what stands in the store and takes one step. */
public final class ZonesAdmin {
  private static final long SECOND = 1_000_000_000;
  private final ZonesKeys keys;
  private final ZoneTopology map;
  private final CoordinationStore store;

  /** A desk at a store, for one fleet. */
  public ZonesAdmin(ZonesKeys keys, ZoneTopology map, CoordinationStore store) {
    this.keys = keys;
    this.map = map;
    this.store = store;
  }

  private StoreResponse.Success given(StoreRequest call) throws AgreementException {
    return ConfigAdmin.requireSuccess(store, call);
  }

  /** What stands in the store now. */
  public ZonesSnapshot look() throws AgreementException {
    return ZonesSnapshot.of(keys, given(new StoreRequest.Read(keys.all())));
  }

  /**
   * Gives an order; one that is to end by itself hangs on a lease of the store, which nobody
   * renews. Refused while another place is drained, or is not served near: one at a time.
   */
  public String give(ZoneOverride order) throws AgreementException {
    return give(order, new StoreRequest.Transaction(List.of(), List.of()));
  }

  /** The same, in one transaction with something else. */
  public String give(ZoneOverride order, StoreRequest.Transaction with) throws AgreementException {
    if (!map.regions().containsKey(order.place())) {
      throw new AgreementException(
          "there is no place '"
              + order.place()
              + "', there are "
              + String.join(", ", map.places()));
    }
    ZonesSnapshot scene = look();
    if (order.what() == ZoneOverride.What.DRAIN) {
      List<String> out = new ArrayList<>();
      scene
          .out()
          .forEach(
              (place, why) -> {
                if (!place.equals(order.place())) {
                  out.add(place + " (" + why + ")");
                }
              });
      if (!out.isEmpty()) {
        throw new AgreementException(
            "one place may be out at once, and out is " + String.join(", ", out));
      }
    }
    long lease =
        order.leftNanos() == 0
            ? 0
            : given(new StoreRequest.Grant((order.leftNanos() + SECOND - 1) / SECOND)).leaseId();
    List<StoreRequest.Condition> conditions = new ArrayList<>(with.conditions());
    conditions.add(scene.unchanged(keys.order(order.place())));
    List<StoreRequest.Change> changes = new ArrayList<>(with.changes());
    changes.add(
        new StoreRequest.Change.Put(keys.order(order.place()), ZonesCodec.of(order), lease));
    if (!given(new StoreRequest.Transaction(conditions, changes)).conditionsHeld()) {
      throw new AgreementException("not done, things have changed meanwhile: look again");
    }
    return order.place()
        + " is to "
        + switch (order.what()) {
          case DRAIN -> "be drained";
          case HOLD -> "stay as it is";
          case WEIGHT -> "keep at most " + order.weight() + " of 1000 of its keys";
        };
  }

  /** Takes back what was said of a place. */
  public String free(String place) throws AgreementException {
    ZonesSnapshot scene = look();
    if (scene.orders().stream().noneMatch(o -> o.place().equals(place))) {
      throw new AgreementException("nothing is said of '" + place + "'");
    }
    given(
        new StoreRequest.Transaction(
            List.of(scene.unchanged(keys.order(place))),
            List.of(new StoreRequest.Change.Delete(keys.order(place)))));
    return place + " goes by evidence again";
  }

  /** All plans, the oldest first. */
  public List<ZonePlan> history() throws AgreementException {
    List<ZonePlan> all = new ArrayList<>();
    for (StoreResponse.Entry pair : given(new StoreRequest.Read(keys.histories())).entries()) {
      all.add(ZonesCodec.plan(pair.value()));
    }
    return all;
  }
}
