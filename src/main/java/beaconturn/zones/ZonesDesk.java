package beaconturn.zones;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.Answer;
import beaconturn.agreement.Call;
import beaconturn.agreement.Desk;
import java.util.ArrayList;
import java.util.List;

/** What operators do with places: each order reads what stands in the store and takes one step. */
public final class ZonesDesk {
  private static final long SECOND = 1_000_000_000;
  private final ZonesKeys keys;
  private final Geography map;
  private final Desk.Store store;

  /** A desk at a store, for one fleet. */
  public ZonesDesk(ZonesKeys keys, Geography map, Desk.Store store) {
    this.keys = keys;
    this.map = map;
    this.store = store;
  }

  private Answer.Given given(Call call) throws AgreementException {
    return Desk.given(store, call);
  }

  /** What stands in the store now. */
  public Scene look() throws AgreementException {
    return Scene.of(keys, given(new Call.Read(keys.all())));
  }

  /**
   * Gives an order; one that is to end by itself hangs on a lease of the store, which nobody
   * renews. Refused while another place is drained, or is not served near: one at a time.
   */
  public String give(Order order) throws AgreementException {
    return give(order, new Call.Swap(List.of(), List.of()));
  }

  /** The same, in one transaction with something else. */
  public String give(Order order, Call.Swap with) throws AgreementException {
    if (!map.regions().containsKey(order.place())) {
      throw new AgreementException(
          "there is no place '"
              + order.place()
              + "', there are "
              + String.join(", ", map.places()));
    }
    Scene scene = look();
    if (order.what() == Order.What.DRAIN) {
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
            : given(new Call.Grant((order.leftNanos() + SECOND - 1) / SECOND)).lease();
    List<Call.Condition> conditions = new ArrayList<>(with.conditions());
    conditions.add(scene.unchanged(keys.order(order.place())));
    List<Call.Change> changes = new ArrayList<>(with.changes());
    changes.add(new Call.Change.Put(keys.order(order.place()), ZonesTexts.of(order), lease));
    if (!given(new Call.Swap(conditions, changes)).held()) {
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
    Scene scene = look();
    if (scene.orders().stream().noneMatch(o -> o.place().equals(place))) {
      throw new AgreementException("nothing is said of '" + place + "'");
    }
    given(
        new Call.Swap(
            List.of(scene.unchanged(keys.order(place))),
            List.of(new Call.Change.Delete(keys.order(place)))));
    return place + " goes by evidence again";
  }

  /** All plans, the oldest first. */
  public List<Plan> history() throws AgreementException {
    List<Plan> all = new ArrayList<>();
    for (Answer.Pair pair : given(new Call.Read(keys.histories())).pairs()) {
      all.add(ZonesTexts.plan(pair.value()));
    }
    return all;
  }
}
