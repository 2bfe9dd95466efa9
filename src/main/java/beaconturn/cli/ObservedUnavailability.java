package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementStatus;
import beaconturn.agreement.ConfigAdmin;
import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.MemberRecord;
import beaconturn.agreement.StoreRequest;
import beaconturn.release.InstanceKind;
import beaconturn.release.ReleaseFleet;
import beaconturn.release.Unavailability;
import beaconturn.zones.ZonesKeys;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Who is out though no permit says so, by what the agreement shows. */
final class ObservedUnavailability {
  private ObservedUnavailability() {}

  /** Those of the fleet, and sites whose traffic is served elsewhere. */
  static Unavailability gone(
      InstanceKind kind,
      ReleaseFleet fleet,
      ConfigAdmin desk,
      AgreementStatus view,
      ZonesKeys zones,
      CoordinationStore store)
      throws AgreementException {
    return gone(kind, fleet, desk, view)
        .whileOut(
            beaconturn.zones.ZonesSnapshot.of(
                    zones, ConfigAdmin.requireSuccess(store, new StoreRequest.Read(zones.all())))
                .out());
  }

  private static Unavailability gone(
      InstanceKind kind, ReleaseFleet fleet, ConfigAdmin desk, AgreementStatus view)
      throws AgreementException {
    if (kind == InstanceKind.ROUTER) {
      Set<String> alive = new HashSet<>();
      for (MemberRecord seat : view.members()) {
        if (desk.holdsLease(view, seat)) {
          alive.add(seat.name());
        }
      }
      return Unavailability.ofRouters(fleet.group(kind), alive);
    }
    Map<String, String> heldOut = new TreeMap<>();
    view.snapshot()
        .current()
        .content()
        .excludedServers()
        .forEach(
            id -> heldOut.put(id, "held out by version " + view.snapshot().current().number()));
    return Unavailability.ofCaches(fleet.group(kind), heldOut, desk.endpointViews().values());
  }
}
