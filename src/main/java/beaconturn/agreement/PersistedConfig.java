package beaconturn.agreement;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;

/**
 * What a router keeps on its disk, so that it starts on it where no store is in reach.
 *
 * @param agreementId of the agreement, empty where there was none
 * @param clusterId of the store that was seen, empty where there was none: one that is restored has
 *     another
 * @param storeRevision the highest that was seen of its store
 * @param joined whether a line on the roster stands for it; else others may have moved on meanwhile
 * @param actingVersion the version that the router acts on
 * @param ackedVersion a version that it has said yes to, or null
 */
public record PersistedConfig(
    String agreementId,
    String clusterId,
    long storeRevision,
    boolean joined,
    ConfigVersion actingVersion,
    ConfigVersion ackedVersion) {
  /** Nothing kept. */
  public static final PersistedConfig EMPTY =
      new PersistedConfig("", "", 0, false, ConfigVersion.NONE, null);

  PersistedConfig joined(boolean now) {
    return new PersistedConfig(
        agreementId, clusterId, storeRevision, now, actingVersion, ackedVersion);
  }

  /** As one line of text. */
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
            actingVersion.number() == 0
                ? new Json.Nothing()
                : new Json.Text(ConfigCodec.encode(actingVersion)),
            "next",
            ackedVersion == null
                ? new Json.Nothing()
                : new Json.Text(ConfigCodec.encode(ackedVersion))));
  }

  /** Of such a line; the digests are checked. */
  public static PersistedConfig decode(String encode) throws AgreementException {
    Json json = StoredJson.parse(encode);
    String actingVersion = json.get("acting").word(null);
    String ackedVersion = json.get("next").word(null);
    return new PersistedConfig(
        json.get("identity").word(""),
        json.get("cluster").word(""),
        StoredJson.wholeNumber(json, "revision", 0, Long.MAX_VALUE),
        json.get("joined").word("false").equals("true"),
        actingVersion == null ? ConfigVersion.NONE : ConfigCodec.decodeVersion(actingVersion),
        ackedVersion == null ? null : ConfigCodec.decodeVersion(ackedVersion));
  }
}
