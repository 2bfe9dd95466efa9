package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.ConfigCodec;
import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.StoredJson;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;

/** Encodes and decodes a plan as one line of JSON, for the store. */
final class RolloutPlanCodec {
  private RolloutPlanCodec() {}

  static String encode(RolloutPlan plan) {
    return JsonWriter.write(
        StoredJson.object(
            "number",
            plan.number(),
            "kind",
            plan.kind().serializedName(),
            "waves",
            StoredJson.list(plan.waves().stream().map(StoredJson::texts).toList()),
            "soak_ns",
            plan.soakNanos(),
            "samples",
            plan.minResponses(),
            "worse",
            encode(plan.regressionBounds()),
            "limit_ns",
            plan.readyTimeoutNanos(),
            "alone_ns",
            plan.selfRollbackNanos(),
            "reason",
            plan.reason(),
            "settings",
            encode(plan.configContent()),
            "cluster",
            plan.storeId()));
  }

  private static Json encode(ConfigContent content) {
    return content == null ? new Json.Null() : ConfigCodec.contentJson(content);
  }

  private static Json encode(RegressionBounds bounds) {
    return StoredJson.object(
        "bad",
        Double.toString(bounds.failedShare()),
        "late",
        Double.toString(bounds.lateShare()),
        "missed",
        Double.toString(bounds.missedShare()),
        "avoided",
        Double.toString(bounds.avoidedServersShare()),
        "memory",
        Double.toString(bounds.memoryRatio()),
        "slower",
        Double.toString(bounds.hitTimeRatio()));
  }

  static RolloutPlan decode(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    return new RolloutPlan(
        StoredFields.number(json, "number"),
        StoredFields.kind(json),
        json.get("waves").items().stream().map(StoredFields::texts).toList(),
        StoredFields.number(json, "soak_ns"),
        StoredFields.number(json, "samples"),
        decodeBounds(json.get("worse")),
        StoredFields.number(json, "limit_ns"),
        StoredFields.number(json, "alone_ns"),
        StoredFields.text(json, "reason"),
        StoredFields.content(json, "settings"),
        StoredFields.text(json, "cluster"));
  }

  private static RegressionBounds decodeBounds(Json json) {
    return new RegressionBounds(
        StoredFields.decimal(json, "bad"),
        StoredFields.decimal(json, "late"),
        StoredFields.decimal(json, "missed"),
        StoredFields.decimal(json, "avoided"),
        StoredFields.decimal(json, "memory"),
        StoredFields.decimal(json, "slower"));
  }
}
