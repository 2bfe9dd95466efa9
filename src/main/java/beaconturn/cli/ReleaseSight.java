package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.Call;
import beaconturn.agreement.Desk;
import beaconturn.agreement.Seat;
import beaconturn.release.Absence;
import beaconturn.release.Fleet;
import beaconturn.release.Kind;
import beaconturn.zones.ZonesKeys;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Who is out though no permit says so, by what the agreement shows. */
final class ReleaseSight {
  private ReleaseSight() {}

  /** Those of the fleet, and sites whose traffic is served elsewhere. */
  static Absence gone(
      Kind kind, Fleet fleet, Desk desk, Desk.View view, ZonesKeys zones, Desk.Store store)
      throws AgreementException {
    return gone(kind, fleet, desk, view)
        .whileOut(
            beaconturn.zones.Scene.of(zones, Desk.given(store, new Call.Read(zones.all()))).out());
  }

  private static Absence gone(Kind kind, Fleet fleet, Desk desk, Desk.View view)
      throws AgreementException {
    if (kind == Kind.ROUTER) {
      Set<String> alive = new HashSet<>();
      for (Seat seat : view.seats()) {
        if (desk.alive(view, seat)) {
          alive.add(seat.name());
        }
      }
      return Absence.ofRouters(fleet.group(kind), alive);
    }
    Map<String, String> heldOut = new TreeMap<>();
    view.seen()
        .current()
        .content()
        .out()
        .forEach(id -> heldOut.put(id, "held out by version " + view.seen().current().number()));
    return Absence.ofCaches(fleet.group(kind), heldOut, desk.sights().values());
  }
}
