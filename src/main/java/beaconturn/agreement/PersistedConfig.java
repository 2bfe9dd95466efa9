package beaconturn.agreement;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;

/**
 * What a router persists, so that it starts on it where no store is in reach.
 *
 * @param agreementId empty where there was no agreement
 * @param clusterId of the store that was seen, empty where there was none: one that is restored has
 *     another
 * @param storeRevision the highest that was seen of its store
 * @param joined whether a member's record stands for it; else others may have moved on meanwhile
 * @param actingVersion the version that the router acts on
 * @param ackedVersion a later version that it has acked, or null
 */
public record PersistedConfig(
    String agreementId,
    String clusterId,
    long storeRevision,
    boolean joined,
    ConfigVersion actingVersion,
    ConfigVersion ackedVersion) {
  /** Nothing was persisted. */
  public static final PersistedConfig EMPTY =
      new PersistedConfig("", "", 0, false, ConfigVersion.NONE, null);

  PersistedConfig withJoined(boolean nowJoined) {
    return new PersistedConfig(
        agreementId, clusterId, storeRevision, nowJoined, actingVersion, ackedVersion);
  }

  /** Encodes it as one line of text. */
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
   * Decodes a line that {@link #encode()} has made.
   *
   * @throws AgreementException if it cannot be read, or the digest of a version is wrong
   */
  public static PersistedConfig decode(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    String acting = json.get("acting").word(null);
    String acked = json.get("next").word(null);
    return new PersistedConfig(
        json.get("identity").word(""),
        json.get("cluster").word(""),
        StoredJson.wholeNumber(json, "revision", 0, Long.MAX_VALUE),
        json.get("joined").word("false").equals("true"),
        acting == null ? ConfigVersion.NONE : ConfigCodec.decodeVersion(acting),
        acked == null ? null : ConfigCodec.decodeVersion(acked));
  }
}
