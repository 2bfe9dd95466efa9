package beaconturn.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

/** The wire, against bytes composed by hand from its tables. */
class SimulatorHostTest {
  private static final String NOW = "90bf68f501000000";
  private static final String ON = "0b03000000";
  private static final String CONF =
      "classes.count=1\nclasses.0.effect=read_like\nreplicas_of_me=1\n"
          + "classes.0.target=800000000\nclasses.0.hard_limit=3000000000\nnew_key=1\n"
          + "permissions.most_tries=4\n";
  private static final String LIST =
      "02"
          + "2900000000000000"
          + "02"
          + "01000000"
          + "0a124a07431f"
          + "00"
          + "00"
          + "0000"
          + "01"
          + "0000803f"
          + "0000000000000000";
  private static final String ARRIVAL =
      "03"
          + "c4913a5d"
          + "00000000"
          + "0000000000000000"
          + "640ad2557c3bf091"
          + "00"
          + "00c2eb0b00000000"
          + "0000"
          + "0000e144";

  private static String le(int value) {
    return String.format("%08x", Integer.reverseBytes(value));
  }

  private static String up(String conf) {
    byte[] text = conf.getBytes(StandardCharsets.UTF_8);
    return "01" + "0700000000000000" + le(text.length) + HexFormat.of().formatHex(text);
  }

  private static String batch(int count, String records) {
    return NOW + le(records.length() / 2) + le(count) + records;
  }

  private static byte[] run(String hex) throws IOException, SimulatorProtocolException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorHost(new ByteArrayInputStream(HexFormat.of().parseHex(hex)), out).run();
    return out.toByteArray();
  }

  private static String refusal(String hex) {
    return assertThrows(SimulatorProtocolException.class, () -> run(hex)).getMessage();
  }

  @Test
  void anEmptyBatchGetsAnEmptyReply() throws Exception {
    assertArrayEquals(new byte[8], run(batch(0, "")));
  }

  @Test
  void anArrivalIsSentToTheOneCache() throws Exception {
    String reply = HexFormat.of().formatHex(run(batch(4, ON + up(CONF) + LIST + ARRIVAL)));
    String send = "0c03000000" + "0a" + "c4913a5d" + "0a124a07431f" + "00c2eb0b00000000";
    assertTrue(reply.contains(send), reply);
  }

  @Test
  void anInstanceCanStopAndStartInOneBatch() throws Exception {
    String records = ON + up(CONF) + "0a" + up(CONF) + LIST;
    assertEquals(8, run(batch(5, records)).length);
  }

  @Test
  void malformedInputIsNamedInOneLine() {
    assertTrue(refusal(NOW).contains("inside the header"));
    assertTrue(refusal(NOW + le(9) + le(1) + ON).contains("inside the records"));
    assertTrue(refusal(batch(1, ON + "00")).contains("bytes left"));
    assertTrue(refusal(batch(2, ON)).contains("past the end"));
    assertTrue(refusal(batch(3, ON + up(CONF) + "63")).contains("unknown event code 99"));
    String noRouters = up(CONF.replace("replicas_of_me=1\n", ""));
    assertTrue(refusal(batch(2, ON + noRouters)).contains("replicas_of_me"));
    String badClass = ARRIVAL.replace("91" + "00" + "00c2", "91" + "05" + "00c2");
    assertTrue(refusal(batch(4, ON + up(CONF) + LIST + badClass)).contains("class 5 out of range"));
  }
}
