package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.StoreResponse;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Decodes a snapshot from the keys and values of the store. Each reader is used once. */
final class RolloutSnapshotReader {
  private final RolloutKeys keys;
  private final Map<String, String> values = new HashMap<>();
  private final Map<String, Long> revisions = new HashMap<>();
  private final SortedMap<String, RolloutStep> steps = new TreeMap<>();
  private final SortedMap<Long, DisruptionPermit> permits = new TreeMap<>();
  private final SortedMap<String, InstanceSample> samples = new TreeMap<>();
  private final SortedMap<String, String> agents = new TreeMap<>();

  RolloutSnapshotReader(RolloutKeys keys) {
    this.keys = keys;
  }

  RolloutSnapshot read(StoreResponse.Success response) throws AgreementException {
    try {
      for (StoreResponse.Entry entry : response.entries()) {
        values.put(entry.key(), entry.value());
        revisions.put(entry.key(), entry.modRevision());
        add(entry.key(), entry.value());
      }
      return snapshot(response.clusterId());
    } catch (IllegalArgumentException e) {
      throw new AgreementException("the stored data of the release is invalid: " + e.getMessage());
    }
  }

  private void add(String key, String value) throws AgreementException {
    if (key.startsWith(keys.steps())) {
      RolloutStep step = RolloutCodec.decodeStep(value);
      steps.put(step.instanceId(), step);
    } else if (key.startsWith(keys.permits())) {
      DisruptionPermit permit = RolloutCodec.decodePermit(value);
      permits.put(permit.number(), permit);
    } else if (key.startsWith(keys.agents())) {
      agents.put(key.substring(keys.agents().length()), value);
    } else if (key.startsWith(keys.samples())) {
      samples.put(key.substring(keys.samples().length()), RolloutCodec.decodeSample(value));
    }
  }

  private RolloutSnapshot snapshot(String storeId) throws AgreementException {
    String fleet = values.get(keys.fleetDefinition());
    String plan = values.get(keys.plan());
    String state = values.get(keys.state());
    String configChange = values.get(keys.configChange());
    return new RolloutSnapshot(
        storeId,
        fleet == null ? ReleaseFleet.EMPTY : ReleaseFleetCodec.decode(fleet),
        plan == null ? null : RolloutPlanCodec.decode(plan),
        state == null ? RolloutState.NONE : RolloutCodec.decodeState(state),
        steps,
        configChange == null ? null : RolloutCodec.decodeConfigChange(configChange),
        permits,
        values.getOrDefault(keys.driver(), ""),
        agents,
        Long.parseLong(values.getOrDefault(keys.permitCounter(), "0")),
        Long.parseLong(values.getOrDefault(keys.historyLength(), "0")),
        samples,
        revisions);
  }
}
