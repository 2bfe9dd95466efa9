package beaconturn.agreement;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;

/**
 * What a router keeps on its disk, so that it starts on it where no store is in reach.
 *
 * @param identity of the agreement, empty where there was none
 * @param cluster of the store that was seen, empty where there was none: one that is restored has
 *     another
 * @param revision the highest that was seen of its store
 * @param joined whether a line on the roster stands for it; else others may have moved on meanwhile
 * @param acting the version that the router acts on
 * @param next a version that it has said yes to, or null
 */
public record PersistedConfig(
    String identity,
    String cluster,
    long revision,
    boolean joined,
    ConfigVersion acting,
    ConfigVersion next) {
  /** Nothing kept. */
  public static final PersistedConfig NOTHING =
      new PersistedConfig("", "", 0, false, ConfigVersion.NONE, null);

  PersistedConfig joined(boolean now) {
    return new PersistedConfig(identity, cluster, revision, now, acting, next);
  }

  /** As one line of text. */
  public String text() {
    return JsonWriter.write(
        ConfigCodec.object(
            "identity",
            identity,
            "cluster",
            cluster,
            "revision",
            revision,
            "joined",
            joined,
            "acting",
            acting.number() == 0 ? new Json.Nothing() : new Json.Text(ConfigCodec.of(acting)),
            "next",
            next == null ? new Json.Nothing() : new Json.Text(ConfigCodec.of(next))));
  }

  /** Of such a line; the digests are checked. */
  public static PersistedConfig of(String text) throws AgreementException {
    Json json = ConfigCodec.parse(text);
    String acting = json.get("acting").word(null);
    String next = json.get("next").word(null);
    return new PersistedConfig(
        json.get("identity").word(""),
        json.get("cluster").word(""),
        ConfigCodec.whole(json, "revision", 0, Long.MAX_VALUE),
        json.get("joined").word("false").equals("true"),
        acting == null ? ConfigVersion.NONE : ConfigCodec.version(acting),
        next == null ? null : ConfigCodec.version(next));
  }
}
