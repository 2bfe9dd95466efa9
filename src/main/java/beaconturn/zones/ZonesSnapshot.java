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
 * The state of all zones in the store at one revision.
 *
 * @param plan the plan in force, or null if there was never one
 * @param leader name and incarnation of the leader, or empty
 * @param reports reports of routers whose store leases have not expired
 * @param overrides operator overrides in effect
 * @param modRevisions revision of the last change by key
 */
public record ZonesSnapshot(
    ZonePlan plan,
    String leader,
    List<ZoneReport> reports,
    List<ZoneOverride> overrides,
    Map<String, Long> modRevisions) {
  /**
   * Decodes the response to a read of all zone entries.
   *
   * @throws AgreementException if an entry is invalid
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

  /** Returns the zones that are evacuated, returning or drained, with the reasons. */
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

  /** Returns the condition that a key is unchanged since this snapshot. */
  StoreRequest.Condition unchanged(String key) {
    return new StoreRequest.Condition.Unchanged(key, modRevisions.getOrDefault(key, 0L));
  }
}
