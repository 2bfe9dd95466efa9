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
 * All that stands in the store of zones, as of one revision.
 *
 * @param plan the plan at hand, or null where there never was one
 * @param leader the incarnation that decides, or empty
 * @param reports of the routers that hold leases of the store
 * @param overrides of operators
 * @param modRevisions when each key was last changed
 */
public record ZonesSnapshot(
    ZonePlan plan,
    String leader,
    List<ZoneReport> reports,
    List<ZoneOverride> overrides,
    Map<String, Long> modRevisions) {
  /**
   * Decodes the response to a read of all of it.
   *
   * @throws AgreementException if something cannot be read
   */
  public static ZonesSnapshot of(ZonesKeys keys, StoreResponse.Success response)
      throws AgreementException {
    ZonePlan plan = null;
    String leader = "";
    List<ZoneReport> reports = new ArrayList<>();
    List<ZoneOverride> overrides = new ArrayList<>();
    Map<String, Long> modRevisions = new HashMap<>();
    for (StoreResponse.Entry entry : response.entries()) {
      modRevisions.put(entry.key(), entry.modRevision());
      if (entry.key().equals(keys.plan())) {
        plan = ZonesCodec.decodePlan(entry.value());
      } else if (entry.key().equals(keys.leader())) {
        leader = entry.value();
      } else if (entry.key().startsWith(keys.overridesPrefix())) {
        overrides.add(ZonesCodec.decodeOverride(entry.value()));
      } else if (entry.key().startsWith(keys.reportsPrefix())) {
        reports.add(ZonesCodec.decodeReport(entry.value()));
      }
    }
    return new ZonesSnapshot(plan, leader, reports, overrides, modRevisions);
  }

  /** Zones whose traffic is served elsewhere, or is to be, and why. */
  public SortedMap<String, String> outOfService() {
    SortedMap<String, String> reasons = new TreeMap<>();
    if (plan != null) {
      plan.states()
          .forEach(
              (zone, state) -> {
                if (state != ZoneState.NEAR && state != ZoneState.SPILLING) {
                  reasons.put(zone, state.name().toLowerCase(Locale.ROOT).replace('_', ' '));
                }
              });
    }
    for (ZoneOverride override : overrides) {
      if (override.kind() == ZoneOverrideKind.DRAIN) {
        String drained = "drained by " + override.author() + ": " + override.reason();
        reasons.merge(override.zone(), drained, (state, added) -> state + ", " + added);
      }
    }
    return reasons;
  }

  /** The condition that the key is as it was read here. */
  StoreRequest.Condition unchanged(String key) {
    return new StoreRequest.Condition.Unchanged(key, modRevisions.getOrDefault(key, 0L));
  }
}
