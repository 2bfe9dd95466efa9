package beaconturn.zones;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.ConfigAdmin;
import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.ArrayList;
import java.util.List;

/**
 * What operators do with zones: each operation reads what stands in the store and takes one step.
 * For one thread, which waits for the store.
 *
 * <p>All methods throw an {@link AgreementException} if the store does not answer, or holds what
 * cannot be read.
 */
public final class ZonesAdmin {
  private static final long SECOND_NANOS = 1_000_000_000;
  private static final long NO_LEASE = 0;

  private final ZonesKeys keys;
  private final ZoneTopology topology;
  private final CoordinationStore store;

  /** The operations at a store, for one fleet. */
  public ZonesAdmin(ZonesKeys keys, ZoneTopology topology, CoordinationStore store) {
    this.keys = keys;
    this.topology = topology;
    this.store = store;
  }

  private StoreResponse.Success requireSuccess(StoreRequest request) throws AgreementException {
    return ConfigAdmin.requireSuccess(store, request);
  }

  /** What stands in the store now. */
  public ZonesSnapshot readSnapshot() throws AgreementException {
    return ZonesSnapshot.of(keys, requireSuccess(new StoreRequest.Read(keys.prefix())));
  }

  /**
   * Sets an override; one that is to end by itself is on a lease of the store, which nobody renews.
   * What was done, in words.
   *
   * @throws AgreementException while another zone is drained, or is not served near: one at a time
   */
  public String setOverride(ZoneOverride override) throws AgreementException {
    return setOverride(override, new StoreRequest.Transaction(List.of(), List.of()));
  }

  /** The same, in one transaction with something else. */
  public String setOverride(ZoneOverride override, StoreRequest.Transaction with)
      throws AgreementException {
    requireKnownZone(override.zone());
    ZonesSnapshot snapshot = readSnapshot();
    if (override.kind() == ZoneOverrideKind.DRAIN) {
      requireAllOthersInService(snapshot, override.zone());
    }
    String key = keys.override(override.zone());
    long leaseId = grantLease(override);
    List<StoreRequest.Condition> conditions = new ArrayList<>(with.conditions());
    conditions.add(snapshot.unchanged(key));
    List<StoreRequest.Change> changes = new ArrayList<>(with.changes());
    changes.add(new StoreRequest.Change.Put(key, ZonesCodec.encode(override), leaseId));
    StoreRequest transaction = new StoreRequest.Transaction(conditions, changes);
    if (!requireSuccess(transaction).conditionsHeld()) {
      throw new AgreementException("not done, things have changed meanwhile: look again");
    }
    return override.zone() + " is to " + describe(override);
  }

  private void requireKnownZone(String zone) throws AgreementException {
    if (!topology.regions().containsKey(zone)) {
      String known = String.join(", ", topology.zones());
      throw new AgreementException("there is no place '" + zone + "', there are " + known);
    }
  }

  private static void requireAllOthersInService(ZonesSnapshot snapshot, String zone)
      throws AgreementException {
    List<String> out = new ArrayList<>();
    snapshot
        .outOfService()
        .forEach(
            (other, reason) -> {
              if (!other.equals(zone)) {
                out.add(other + " (" + reason + ")");
              }
            });
    if (!out.isEmpty()) {
      throw new AgreementException(
          "one place may be out at once, and out is " + String.join(", ", out));
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
   * Takes the override of a zone back. What was done, in words.
   *
   * @throws AgreementException if there is none
   */
  public String clearOverride(String zone) throws AgreementException {
    ZonesSnapshot snapshot = readSnapshot();
    if (snapshot.overrides().stream().noneMatch(override -> override.zone().equals(zone))) {
      throw new AgreementException("nothing is said of '" + zone + "'");
    }
    String key = keys.override(zone);
    requireSuccess(
        new StoreRequest.Transaction(
            List.of(snapshot.unchanged(key)), List.of(new StoreRequest.Change.Delete(key))));
    return zone + " goes by evidence again";
  }

  /** All plans, the oldest first. */
  public List<ZonePlan> history() throws AgreementException {
    List<ZonePlan> plans = new ArrayList<>();
    StoreRequest read = new StoreRequest.Read(keys.plansPrefix());
    for (StoreResponse.Entry entry : requireSuccess(read).entries()) {
      plans.add(ZonesCodec.decodePlan(entry.value()));
    }
    return plans;
  }
}
