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
 * Reads from the store which instances are unavailable, and which zones are out of service.
 *
 * @param agreement access to configuration versions and members of the fleet
 * @param zonesKeys keys of the fleet's zones
 * @param store the store that holds the zones
 */
record ObservedUnavailability(ConfigAdmin agreement, ZonesKeys zonesKeys, CoordinationStore store) {
  /** Reads the unavailable instances of a kind. */
  Unavailability read(InstanceKind kind, ReleaseFleet fleet) throws AgreementException {
    return read(kind, fleet, agreement.status());
  }

  /** Reads the unavailable instances of a kind, given an agreement status that was just read. */
  Unavailability read(InstanceKind kind, ReleaseFleet fleet, AgreementStatus agreementStatus)
      throws AgreementException {
    Unavailability unavailability =
        kind == InstanceKind.ROUTER
            ? routers(fleet, agreementStatus)
            : caches(fleet, agreementStatus);
    ZonesSnapshot zones =
        ZonesSnapshot.of(
            zonesKeys,
            ConfigAdmin.requireSuccess(store, new StoreRequest.Read(zonesKeys.prefix())));
    return unavailability.withZonesOutOfService(zones.outOfService());
  }

  private Unavailability routers(ReleaseFleet fleet, AgreementStatus agreementStatus) {
    Set<String> leaseHolders = new HashSet<>();
    for (MemberRecord member : agreementStatus.members()) {
      if (agreement.holdsLease(agreementStatus, member)) {
        leaseHolders.add(member.name());
      }
    }
    return Unavailability.ofRouters(fleet.group(InstanceKind.ROUTER), leaseHolders);
  }

  private Unavailability caches(ReleaseFleet fleet, AgreementStatus agreementStatus)
      throws AgreementException {
    String reason = "held out by version " + agreementStatus.snapshot().current().number();
    Map<String, String> excluded = new TreeMap<>();
    agreementStatus
        .snapshot()
        .current()
        .content()
        .excludedServers()
        .forEach(server -> excluded.put(server, reason));
    return Unavailability.ofCaches(
        fleet.group(InstanceKind.CACHE), excluded, agreement.endpointViews().values());
  }
}
