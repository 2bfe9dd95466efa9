package beaconturn.agreement;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;

/**
 * State that a router persists, so that it can start while the store is unreachable.
 *
 * @param agreementId empty if there was no agreement
 * @param clusterId cluster id of the store, which changes when the store is restored; empty if no
 *     store was reached
 * @param storeRevision the highest store revision seen
 * @param joined whether the store holds a record of the router; if not, versions may have come into
 *     force without its ack
 * @param actingVersion the version that the router acts on
 * @param ackedVersion a later version that the router has acked, or null
 */
public record PersistedConfig(
    String agreementId,
    String clusterId,
    long storeRevision,
    boolean joined,
    ConfigVersion actingVersion,
    ConfigVersion ackedVersion) {
  /** State of a router that has persisted nothing. */
  public static final PersistedConfig EMPTY =
      new PersistedConfig("", "", 0, false, ConfigVersion.NONE, null);

  PersistedConfig withJoined(boolean nowJoined) {
    return new PersistedConfig(
        agreementId, clusterId, storeRevision, nowJoined, actingVersion, ackedVersion);
  }

  /** Encodes the state as one line. */
  public String encode() {
    return JsonWriter.write(
        StoredJson.object(
            "identity",
            agreementId,
            "cluster",
            clusterId,
            "revision",
            storeRevision,
            "joined",
            joined,
            "acting",
            encode(actingVersion.number() == 0 ? null : actingVersion),
            "next",
            encode(ackedVersion)));
  }

  private static Json encode(ConfigVersion version) {
    return version == null ? new Json.Null() : new Json.Text(ConfigCodec.encode(version));
  }

  /**
   * Decodes the output of {@link #encode()}.
   *
   * @throws AgreementException if the text is invalid or the digest of a version does not match
   */
  public static PersistedConfig decode(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    String acting = json.get("acting").asText(null);
    String acked = json.get("next").asText(null);
    return new PersistedConfig(
        json.get("identity").asText(""),
        json.get("cluster").asText(""),
        StoredJson.wholeNumber(json, "revision", 0, Long.MAX_VALUE),
        json.get("joined").asText("false").equals("true"),
        acting == null ? ConfigVersion.NONE : ConfigCodec.decodeVersion(acting),
        acked == null ? null : ConfigCodec.decodeVersion(acked));
  }
}
