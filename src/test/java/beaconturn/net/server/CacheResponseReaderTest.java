package beaconturn.net.server;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import beaconturn.core.AttemptResult;
import beaconturn.core.RouterSettingsReader;
import beaconturn.core.Samples;
import beaconturn.decision.AttemptOutcome;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.RespReader;
import beaconturn.protocol.RespWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the load report of a response; a malformed report must not make the response fail. */
class CacheResponseReaderTest {
  private static AttemptResult read(String report) throws Exception {
    Map<String, String> settings = Samples.settings();
    settings.put("load_report.names", "busy_reqs,svc_ms");
    CacheResponseReader reader =
        new CacheResponseReader(RouterSettingsReader.read(settings).routing());
    byte[] bytes = ("*3\r\n$2\r\nva\r\n$3\r\nhit\r\n" + report).getBytes(StandardCharsets.UTF_8);
    InputBuffer in = new InputBuffer();
    in.ensureRoom();
    System.arraycopy(bytes, 0, in.array(), in.end(), bytes.length);
    in.filled(bytes.length);
    return reader.read(new RespReader(RespReader.MAX_VALUE_BYTES).next(in), 1);
  }

  @Test
  void readsLoadReportInOrderOfSettings() throws Exception {
    assertArrayEquals(
        new float[] {3, 1.5f},
        read(RespWriter.bulk("svc_ms=1.5,busy_reqs=3").toString()).loadReport());
  }

  /** An infinite or negative value would distort the routing policy's averages permanently. */
  @Test
  void ignoresMalformedLoadReport() throws Exception {
    for (String invalid :
        List.of(
            "svc_ms=1",
            "svc_ms=1e99,busy_reqs=3",
            "svc_ms=-1,busy_reqs=3",
            "svc_ms=NaN,busy_reqs=3",
            "svc_ms=Infinity,busy_reqs=3",
            "svc_ms=1,busy_reqs",
            "noise",
            "svc_ms=1,svc_ms=2",
            "svc_ms=1,busy_reqs=0x1p3")) {
      AttemptResult result = read(RespWriter.bulk(invalid).toString());
      assertEquals(AttemptOutcome.OK, result.outcome(), invalid);
      assertEquals(0, result.loadReport().length, invalid);
    }
    for (String otherType : List.of(":7\r\n", "$-1\r\n", "+x\r\n", "*0\r\n")) {
      assertEquals(AttemptOutcome.OK, read(otherType).outcome(), otherType);
      assertEquals(0, read(otherType).loadReport().length, otherType);
    }
  }

  @Test
  void forwardsValueUnchanged() throws Exception {
    assertEquals("$2\r\nva\r\n", read("$-1\r\n").response().toString());
  }
}
