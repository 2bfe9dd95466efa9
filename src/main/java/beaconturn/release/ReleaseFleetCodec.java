package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.StoredJson;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Encodes and decodes a fleet as one line of JSON, for the store. */
final class ReleaseFleetCodec {
  private ReleaseFleetCodec() {}

  static String encode(ReleaseFleet fleet) {
    List<Json> groups = new ArrayList<>();
    fleet.groups().forEach((kind, group) -> groups.add(encode(kind, group)));
    return JsonWriter.write(StoredJson.object("groups", StoredJson.list(groups)));
  }

  private static Json encode(InstanceKind kind, ReleaseFleet.Group group) {
    ReleaseFleet.Capacity capacity = group.capacity();
    List<Json> zones = new ArrayList<>();
    group
        .instancesByZone()
        .forEach(
            (zone, instanceIds) ->
                zones.add(StoredJson.object("site", zone, "parts", StoredJson.texts(instanceIds))));
    return StoredJson.object(
        "kind",
        kind.serializedName(),
        "most_out",
        group.maxUnavailable(),
        "most_out_of_site",
        group.maxUnavailablePerZone(),
        "each_per_s",
        Double.toString(capacity.responsesPerSecondPerInstance()),
        "cores",
        Double.toString(capacity.coresPerInstance()),
        "failures",
        // Stored plus one: stored integers cannot be negative, and -1 disables the load check.
        capacity.toleratedFailures() + 1,
        "sites",
        StoredJson.list(zones));
  }

  static ReleaseFleet decode(String text) throws AgreementException {
    Map<InstanceKind, ReleaseFleet.Group> groups = new EnumMap<>(InstanceKind.class);
    for (Json group : StoredJson.parse(text).get("groups").items()) {
      groups.put(StoredFields.kind(group), decodeGroup(group));
    }
    return new ReleaseFleet(groups);
  }

  private static ReleaseFleet.Group decodeGroup(Json group) throws AgreementException {
    SortedMap<String, List<String>> instancesByZone = new TreeMap<>();
    for (Json zone : group.get("sites").items()) {
      instancesByZone.put(StoredFields.text(zone, "site"), StoredFields.texts(zone.get("parts")));
    }
    return new ReleaseFleet.Group(
        (int) StoredFields.number(group, "most_out"),
        (int) StoredFields.number(group, "most_out_of_site"),
        instancesByZone,
        new ReleaseFleet.Capacity(
            StoredFields.decimal(group, "each_per_s"),
            StoredFields.decimal(group, "cores"),
            (int) StoredFields.number(group, "failures") - 1));
  }
}
