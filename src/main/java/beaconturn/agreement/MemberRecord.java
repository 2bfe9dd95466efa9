package beaconturn.agreement;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;

/**
 * A member's record in the store.
 *
 * @param name name of the router, stable over restarts
 * @param incarnation unique id of its process
 * @param ackedNumber number of the highest version that the member has acked
 * @param nackedNumber number of the version that the member last nacked, or 0
 * @param nackReason why the member nacked that version, or empty
 * @param actingNumber number of the version that the member acts on while it holds its lease
 */
public record MemberRecord(
    String name,
    String incarnation,
    long ackedNumber,
    long nackedNumber,
    String nackReason,
    long actingNumber) {
  String encode() {
    return JsonWriter.write(
        StoredJson.object(
            "name",
            name,
            "incarnation",
            incarnation,
            "yes",
            ackedNumber,
            "no",
            nackedNumber,
            "why",
            nackReason,
            "acts",
            actingNumber));
  }

  /**
   * Decodes a record from the store.
   *
   * @throws AgreementException if the text is invalid
   */
  public static MemberRecord decode(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    return new MemberRecord(
        json.get("name").asText(""),
        json.get("incarnation").asText(""),
        StoredJson.wholeNumber(json, "yes", 0, Long.MAX_VALUE),
        StoredJson.wholeNumber(json, "no", 0, Long.MAX_VALUE),
        json.get("why").asText(""),
        StoredJson.wholeNumber(json, "acts", 0, Long.MAX_VALUE));
  }
}
