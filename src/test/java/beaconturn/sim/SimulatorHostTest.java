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

/** Tests the simulator host against hand-written bytes of the wire format. */
class SimulatorHostTest {
  private static final String BATCH_TIME = "90bf68f501000000";
  private static final String INSTANCE_SELECTED = "0b03000000";
  private static final String SETTINGS =
      "classes.count=1\nclasses.0.effect=read_like\nreplicas_of_me=1\n"
          + "classes.0.target=800000000\nclasses.0.hard_limit=3000000000\nnew_key=1\n"
          + "permissions.most_tries=4\n";
  private static final String ENDPOINTS_UPDATED =
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
  private static final String REQUEST_ARRIVED =
      "03"
          + "c4913a5d"
          + "00000000"
          + "0000000000000000"
          + "640ad2557c3bf091"
          + "00"
          + "00c2eb0b00000000"
          + "0000"
          + "0000e144";

  private static String littleEndian(int value) {
    return String.format("%08x", Integer.reverseBytes(value));
  }

  private static String instanceStarted(String settings) {
    byte[] text = settings.getBytes(StandardCharsets.UTF_8);
    return "01" + "0700000000000000" + littleEndian(text.length) + HexFormat.of().formatHex(text);
  }

  private static String batch(int count, String records) {
    return BATCH_TIME + littleEndian(records.length() / 2) + littleEndian(count) + records;
  }

  private static byte[] run(String hex) throws IOException, SimulatorProtocolException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorHost(new ByteArrayInputStream(HexFormat.of().parseHex(hex)), out).run();
    return out.toByteArray();
  }

  private static String protocolError(String hex) {
    return assertThrows(SimulatorProtocolException.class, () -> run(hex)).getMessage();
  }

  @Test
  void emptyBatchGetsEmptyReply() throws Exception {
    assertArrayEquals(new byte[8], run(batch(0, "")));
  }

  @Test
  void arrivingRequestIsSentToOnlyCache() throws Exception {
    String reply =
        HexFormat.of()
            .formatHex(
                run(
                    batch(
                        4,
                        INSTANCE_SELECTED
                            + instanceStarted(SETTINGS)
                            + ENDPOINTS_UPDATED
                            + REQUEST_ARRIVED)));
    String send = "0c03000000" + "0a" + "c4913a5d" + "0a124a07431f" + "00c2eb0b00000000";
    assertTrue(reply.contains(send), reply);
  }

  @Test
  void instanceCanStopAndStartInOneBatch() throws Exception {
    String records =
        INSTANCE_SELECTED
            + instanceStarted(SETTINGS)
            + "0a"
            + instanceStarted(SETTINGS)
            + ENDPOINTS_UPDATED;
    assertEquals(8, run(batch(5, records)).length);
  }

  @Test
  void malformedInputIsReported() {
    assertTrue(protocolError(BATCH_TIME).contains("inside the header"));
    assertTrue(
        protocolError(BATCH_TIME + littleEndian(9) + littleEndian(1) + INSTANCE_SELECTED)
            .contains("inside the records"));
    assertTrue(protocolError(batch(1, INSTANCE_SELECTED + "00")).contains("bytes left"));
    assertTrue(protocolError(batch(2, INSTANCE_SELECTED)).contains("past the end"));
    assertTrue(
        protocolError(batch(3, INSTANCE_SELECTED + instanceStarted(SETTINGS) + "63"))
            .contains("unknown event code 99"));
    String withoutRouterCount = instanceStarted(SETTINGS.replace("replicas_of_me=1\n", ""));
    assertTrue(
        protocolError(batch(2, INSTANCE_SELECTED + withoutRouterCount)).contains("replicas_of_me"));
    String unknownClass = REQUEST_ARRIVED.replace("91" + "00" + "00c2", "91" + "05" + "00c2");
    assertTrue(
        protocolError(
                batch(
                    4,
                    INSTANCE_SELECTED
                        + instanceStarted(SETTINGS)
                        + ENDPOINTS_UPDATED
                        + unknownClass))
            .contains("class 5 out of range"));
  }
}
