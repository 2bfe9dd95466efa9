package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.ConfigCodec;
import beaconturn.agreement.StoredJson;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes and decodes the records that change during a release: state, steps, permits, the
 * configuration change and metrics. Each is stored as one line of JSON. Processes of different
 * builds exchange these texts, so member names and their order must not change.
 */
public final class RolloutCodec {
  private RolloutCodec() {}

  static String encode(DisruptionPermit permit) {
    return JsonWriter.write(
        StoredJson.object(
            "number",
            permit.number(),
            "kind",
            permit.kind().serializedName(),
            "id",
            permit.instanceId(),
            "holder",
            permit.holder(),
            "reason",
            permit.reason()));
  }

  static DisruptionPermit decodePermit(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    return new DisruptionPermit(
        StoredFields.number(json, "number"),
        StoredFields.kind(json),
        StoredFields.text(json, "id"),
        StoredFields.text(json, "holder"),
        StoredFields.text(json, "reason"));
  }

  static String encode(ConfigChange change) {
    return JsonWriter.write(
        StoredJson.object(
            "number",
            change.versionNumber(),
            "before",
            ConfigCodec.contentJson(change.previousContent()),
            "undone",
            change.revertVersionNumber()));
  }

  static ConfigChange decodeConfigChange(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    return new ConfigChange(
        StoredFields.number(json, "number"),
        StoredFields.content(json, "before"),
        StoredFields.number(json, "undone"));
  }

  static String encode(RolloutState state) {
    return JsonWriter.write(
        StoredJson.object(
            "mode", state.mode().serializedName(), "why", state.reason(), "by", state.author()));
  }

  static RolloutState decodeState(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    return new RolloutState(
        StoredFields.constant(json, "mode", RolloutMode.values()),
        StoredFields.text(json, "why"),
        StoredFields.text(json, "by"));
  }

  static String encode(RolloutStep step) {
    return JsonWriter.write(
        StoredJson.object(
            "id",
            step.instanceId(),
            "permit",
            step.permitNumber(),
            "phase",
            step.phase().serializedName(),
            "variant",
            step.variant().serializedName(),
            "agent",
            step.agentIncarnation(),
            "why",
            step.failureReason(),
            "started",
            // Stored plus one: stored integers cannot be negative, and -1 means no known start.
            step.previousStartNanos() + 1,
            "took_ns",
            step.readyAfterNanos()));
  }

  static RolloutStep decodeStep(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    return new RolloutStep(
        StoredFields.text(json, "id"),
        StoredFields.number(json, "permit"),
        StoredFields.constant(json, "phase", StepPhase.values()),
        StoredFields.constant(json, "variant", InstanceVariant.values()),
        StoredFields.text(json, "agent"),
        StoredFields.text(json, "why"),
        StoredFields.number(json, "started") - 1,
        StoredFields.number(json, "took_ns"));
  }

  /** Encodes the metrics of an instance. */
  public static String encode(InstanceSample sample) {
    List<Object> members = new ArrayList<>(List.of("process", sample.process()));
    sample
        .metrics()
        .forEach((metric, value) -> members.addAll(List.of(metric.serializedName(), value)));
    return JsonWriter.write(StoredJson.object(members.toArray()));
  }

  static InstanceSample decodeSample(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    Map<InstanceMetric, Long> metrics = new EnumMap<>(InstanceMetric.class);
    for (InstanceMetric metric : InstanceMetric.values()) {
      if (!StoredFields.text(json, metric.serializedName()).isEmpty()) {
        metrics.put(metric, StoredFields.number(json, metric.serializedName()));
      }
    }
    return new InstanceSample(StoredFields.text(json, "process"), metrics);
  }
}
