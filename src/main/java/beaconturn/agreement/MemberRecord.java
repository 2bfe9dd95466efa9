package beaconturn.agreement;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;

/**
 * One router as it stands in the store.
 *
 * @param name its name, the same after a restart
 * @param incarnation of its process
 * @param yes the highest version that it has said yes to
 * @param no a version that it has turned down, or 0
 * @param why it did, else empty
 * @param acts the version that it acts on while it holds its lease
 */
public record MemberRecord(
    String name, String incarnation, long yes, long no, String why, long acts) {
  String text() {
    return JsonWriter.write(
        ConfigCodec.object(
            "name",
            name,
            "incarnation",
            incarnation,
            "yes",
            yes,
            "no",
            no,
            "why",
            why,
            "acts",
            acts));
  }

  /** Of a line of the roster. */
  public static MemberRecord of(String text) throws AgreementException {
    Json json = ConfigCodec.parse(text);
    return new MemberRecord(
        json.get("name").word(""),
        json.get("incarnation").word(""),
        ConfigCodec.whole(json, "yes", 0, Long.MAX_VALUE),
        ConfigCodec.whole(json, "no", 0, Long.MAX_VALUE),
        json.get("why").word(""),
        ConfigCodec.whole(json, "acts", 0, Long.MAX_VALUE));
  }
}
