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
import beaconturn.zones.ZonesSnapshot;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Reads from the store which instances are out without a permit, and which zones are served
 * elsewhere.
 *
 * @param agreement configuration versions and members of the fleet
 * @param zonesKeys keys of the zones of the fleet
 * @param store where both are read
 */
record ObservedUnavailability(ConfigAdmin agreement, ZonesKeys zonesKeys, CoordinationStore store) {
  /** The instances of a kind as they are now. */
  Unavailability read(InstanceKind kind, ReleaseFleet fleet) throws AgreementException {
    return read(kind, fleet, agreement.status());
  }

  /** The same, where the members have been read already. */
  Unavailability read(InstanceKind kind, ReleaseFleet fleet, AgreementStatus view)
      throws AgreementException {
    Unavailability unavailability =
        kind == InstanceKind.ROUTER ? routers(fleet, view) : caches(fleet, view);
    ZonesSnapshot zones =
        ZonesSnapshot.of(
            zonesKeys,
            ConfigAdmin.requireSuccess(store, new StoreRequest.Read(zonesKeys.prefix())));
    return unavailability.withZonesOutOfService(zones.outOfService());
  }

  private Unavailability routers(ReleaseFleet fleet, AgreementStatus view) {
    Set<String> leaseHolders = new HashSet<>();
    for (MemberRecord member : view.members()) {
      if (agreement.holdsLease(view, member)) {
        leaseHolders.add(member.name());
      }
    }
    return Unavailability.ofRouters(fleet.group(InstanceKind.ROUTER), leaseHolders);
  }

  private Unavailability caches(ReleaseFleet fleet, AgreementStatus view)
      throws AgreementException {
    String reason = "held out by version " + view.snapshot().current().number();
    Map<String, String> excluded = new TreeMap<>();
    view.snapshot()
        .current()
        .content()
        .excludedServers()
        .forEach(server -> excluded.put(server, reason));
    return Unavailability.ofCaches(
        fleet.group(InstanceKind.CACHE), excluded, agreement.endpointViews().values());
  }
}
