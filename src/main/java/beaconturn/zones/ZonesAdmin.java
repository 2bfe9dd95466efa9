package beaconturn.zones;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.ConfigAdmin;
import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.ArrayList;
import java.util.List;

/**
 * Operators' access to zones. Each operation reads the current state from the store and makes at
 * most one change. Blocks the calling thread; not thread-safe.
 *
 * <p>All methods throw an {@link AgreementException} if the store does not reply or holds invalid
 * entries.
 */
public final class ZonesAdmin {
  private static final long SECOND_NANOS = 1_000_000_000;
  private static final long NO_LEASE = 0;

  private final ZonesKeys keys;
  private final ZoneTopology topology;
  private final CoordinationStore store;

  /** Creates the operations for one fleet. */
  public ZonesAdmin(ZonesKeys keys, ZoneTopology topology, CoordinationStore store) {
    this.keys = keys;
    this.topology = topology;
    this.store = store;
  }

  private StoreResponse.Success requireSuccess(StoreRequest request) throws AgreementException {
    return ConfigAdmin.requireSuccess(store, request);
  }

  /** Reads the current state of all zones. */
  public ZonesSnapshot readSnapshot() throws AgreementException {
    return ZonesSnapshot.of(keys, requireSuccess(new StoreRequest.Read(keys.prefix())));
  }

  /**
   * Sets an override and returns a description of the change. An override that expires is stored
   * under a lease that is never renewed.
   *
   * @throws AgreementException if the zone is unknown, if it is to be drained while another zone is
   *     drained or failed over, or if the state changed concurrently
   */
  public String setOverride(ZoneOverride override) throws AgreementException {
    return setOverride(override, new StoreRequest.Transaction(List.of(), List.of()));
  }

  /** Sets an override together with additional conditions and changes, in one transaction. */
  public String setOverride(ZoneOverride override, StoreRequest.Transaction extra)
      throws AgreementException {
    requireKnownZone(override.zone());
    ZonesSnapshot snapshot = readSnapshot();
    if (override.kind() == ZoneOverrideKind.DRAIN) {
      requireAllOthersInService(snapshot, override.zone());
    }
    String key = keys.override(override.zone());
    long leaseId = grantLease(override);
    List<StoreRequest.Condition> conditions = new ArrayList<>(extra.conditions());
    conditions.add(snapshot.unchanged(key));
    List<StoreRequest.Change> changes = new ArrayList<>(extra.changes());
    changes.add(new StoreRequest.Change.Put(key, ZonesCodec.encode(override), leaseId));
    StoreRequest transaction = new StoreRequest.Transaction(conditions, changes);
    if (!requireSuccess(transaction).conditionsHeld()) {
      throw new AgreementException(
          "the override of zone '"
              + override.zone()
              + "' was not set, as the store changed concurrently: check and retry");
    }
    return override.zone() + " is to " + describe(override);
  }

  private void requireKnownZone(String zone) throws AgreementException {
    if (!topology.regions().containsKey(zone)) {
      String known = String.join(", ", topology.zones());
      throw new AgreementException("unknown zone '" + zone + "', the known zones are " + known);
    }
  }

  private static void requireAllOthersInService(ZonesSnapshot snapshot, String zone)
      throws AgreementException {
    List<String> unavailable = new ArrayList<>();
    snapshot
        .outOfService()
        .forEach(
            (other, reason) -> {
              if (!other.equals(zone)) {
                unavailable.add(other + " (" + reason + ")");
              }
            });
    if (!unavailable.isEmpty()) {
      throw new AgreementException(
          "only one zone may be out of service at a time, and out of service is "
              + String.join(", ", unavailable));
    }
  }

  private long grantLease(ZoneOverride override) throws AgreementException {
    if (override.durationNanos() == 0) {
      return NO_LEASE;
    }
    long ttlSeconds = (override.durationNanos() + SECOND_NANOS - 1) / SECOND_NANOS;
    return requireSuccess(new StoreRequest.Grant(ttlSeconds)).leaseId();
  }

  private static String describe(ZoneOverride override) {
    return switch (override.kind()) {
      case DRAIN -> "be drained";
      case HOLD -> "stay as it is";
      case WEIGHT -> "keep at most " + override.maxHomeWeight() + " of 1000 of its keys";
    };
  }

  /**
   * Removes the override of a zone and returns a description of the change.
   *
   * @throws AgreementException if the zone has no override
   */
  public String clearOverride(String zone) throws AgreementException {
    ZonesSnapshot snapshot = readSnapshot();
    if (snapshot.overrides().stream().noneMatch(override -> override.zone().equals(zone))) {
      throw new AgreementException("there is no override of zone '" + zone + "'");
    }
    String key = keys.override(zone);
    requireSuccess(
        new StoreRequest.Transaction(
            List.of(snapshot.unchanged(key)), List.of(new StoreRequest.Change.Delete(key))));
    return zone + " goes by evidence again";
  }

  /** Returns all plans, oldest first. */
  public List<ZonePlan> history() throws AgreementException {
    List<ZonePlan> plans = new ArrayList<>();
    StoreRequest read = new StoreRequest.Read(keys.plansPrefix());
    for (StoreResponse.Entry entry : requireSuccess(read).entries()) {
      plans.add(ZonesCodec.decodePlan(entry.value()));
    }
    return plans;
  }
}
