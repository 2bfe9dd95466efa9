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
public record Kept(
    String identity, String cluster, long revision, boolean joined, Version acting, Version next) {
  /** Nothing kept. */
  public static final Kept NOTHING = new Kept("", "", 0, false, Version.NONE, null);

  Kept joined(boolean now) {
    return new Kept(identity, cluster, revision, now, acting, next);
  }

  /** As one line of text. */
  public String text() {
    return JsonWriter.write(
        Texts.object(
            "identity",
            identity,
            "cluster",
            cluster,
            "revision",
            revision,
            "joined",
            joined,
            "acting",
            acting.number() == 0 ? new Json.Nothing() : new Json.Text(Texts.of(acting)),
            "next",
            next == null ? new Json.Nothing() : new Json.Text(Texts.of(next))));
  }

  /** Of such a line; the digests are checked. */
  public static Kept of(String text) throws AgreementException {
    Json json = Texts.parse(text);
    String acting = json.get("acting").word(null);
    String next = json.get("next").word(null);
    return new Kept(
        json.get("identity").word(""),
        json.get("cluster").word(""),
        Texts.whole(json, "revision", 0, Long.MAX_VALUE),
        json.get("joined").word("false").equals("true"),
        acting == null ? Version.NONE : Texts.version(acting),
        next == null ? null : Texts.version(next));
  }
}
