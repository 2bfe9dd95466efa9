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

/** The load report in an answer; an answer is good whatever its report is. */
class CacheResponseReaderTest {
  private static AttemptResult read(String report) throws Exception {
    Map<String, String> settings = Samples.settings();
    settings.put("load_report.names", "busy_reqs,svc_ms");
    CacheResponseReader replies =
        new CacheResponseReader(RouterSettingsReader.read(settings).routing());
    byte[] bytes = ("*3\r\n$2\r\nva\r\n$3\r\nhit\r\n" + report).getBytes(StandardCharsets.UTF_8);
    InputBuffer in = new InputBuffer();
    in.ensureRoom();
    System.arraycopy(bytes, 0, in.array(), in.end(), bytes.length);
    in.filled(bytes.length);
    return replies.read(new RespReader(RespReader.MAX_VALUE_BYTES).next(in), 1);
  }

  @Test
  void aReportIsReadInTheOrderOfTheSettings() throws Exception {
    assertArrayEquals(
        new float[] {3, 1.5f},
        read(RespWriter.bulk("svc_ms=1.5,busy_reqs=3").toString()).loadReport());
  }

  /**
   * A figure that is infinite or negative would stay in the averages that decisions are made from.
   */
  @Test
  void aReportThatCannotBeReadIsNone() throws Exception {
    for (String wrong :
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
      AttemptResult outcome = read(RespWriter.bulk(wrong).toString());
      assertEquals(AttemptOutcome.OK, outcome.outcome(), wrong);
      assertEquals(0, outcome.loadReport().length, wrong);
    }
    for (String odd : List.of(":7\r\n", "$-1\r\n", "+x\r\n", "*0\r\n")) {
      assertEquals(AttemptOutcome.OK, read(odd).outcome(), odd);
      assertEquals(0, read(odd).loadReport().length, odd);
    }
  }

  @Test
  void theValueGoesOnAsItCame() throws Exception {
    assertEquals("$2\r\nva\r\n", read("$-1\r\n").response().toString());
  }
}
