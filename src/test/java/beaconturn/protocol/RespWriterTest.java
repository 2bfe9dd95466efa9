package beaconturn.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class RespWriterTest {
  private static RespValue.Bulk read(Slice written) throws ProtocolException {
    String text = new String(written.copy(), StandardCharsets.ISO_8859_1);
    return (RespValue.Bulk) new RespReader(100).next(Bytes.buffer(text));
  }

  @Test
  void readsWrittenBinaryString() throws ProtocolException {
    byte[] binary = {0, '\r', '\n', (byte) 0xff, '$'};
    assertArrayEquals(binary, read(RespWriter.bulk(binary)).bytes().copy());
    assertEquals(0, read(RespWriter.bulk(new byte[0])).bytes().length());
    assertNull(read(RespWriter.bulk((byte[]) null)).bytes());
  }
}
