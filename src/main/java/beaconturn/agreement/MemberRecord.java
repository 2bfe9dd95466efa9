package beaconturn.agreement;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;

/**
 * One member as it stands in the store.
 *
 * @param name of the router, the same after a restart
 * @param incarnation of its process
 * @param ackedNumber the highest version that it has acked
 * @param nackedNumber a version that it has nacked, or 0
 * @param nackReason why it did, else empty
 * @param actingNumber the version that it acts on while it holds its lease
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
   * Decodes a text of the store.
   *
   * @throws AgreementException if it cannot be read
   */
  public static MemberRecord decode(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    return new MemberRecord(
        json.get("name").word(""),
        json.get("incarnation").word(""),
        StoredJson.wholeNumber(json, "yes", 0, Long.MAX_VALUE),
        StoredJson.wholeNumber(json, "no", 0, Long.MAX_VALUE),
        json.get("why").word(""),
        StoredJson.wholeNumber(json, "acts", 0, Long.MAX_VALUE));
  }
}
