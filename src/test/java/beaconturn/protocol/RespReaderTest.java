package beaconturn.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RespReaderTest {
  private static final int MAX_STRING_BYTES = 32;
  private final RespReader reader = new RespReader(MAX_STRING_BYTES);

  @ParameterizedTest
  @ValueSource(
      strings = {
        "+OK\r\n",
        "-BUSY 20\r\n",
        ":-12\r\n",
        "$5\r\na\r\nbc\r\n",
        "$0\r\n\r\n",
        "$-1\r\n",
        "*-1\r\n",
        "*0\r\n",
        "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n",
        "*2\r\n*1\r\n:1\r\n+x\r\n"
      })
  void readsValueOnceItIsComplete(String text) throws ProtocolException {
    InputBuffer in = new InputBuffer();
    for (int i = 0; i < text.length() - 1; i++) {
      Bytes.feed(in, text.substring(i, i + 1));
      assertNull(reader.next(in), "complete after " + (i + 1) + " bytes");
    }
    Bytes.feed(in, text.substring(text.length() - 1));
    assertEquals(text, reader.next(in).frame().toString());
    assertEquals(0, in.size());
  }

  @Test
  void readsConsecutiveValues() throws ProtocolException {
    InputBuffer in = Bytes.buffer("+a\r\n:7\r\n$1\r\nb\r\n+c");
    assertEquals(
        "a", assertInstanceOf(RespValue.SimpleString.class, reader.next(in)).text().toString());
    assertEquals(7, assertInstanceOf(RespValue.Int.class, reader.next(in)).value());
    assertEquals("b", assertInstanceOf(RespValue.Bulk.class, reader.next(in)).bytes().toString());
    assertNull(reader.next(in));
    assertEquals(2, in.size());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET / HTTP/1.1\r\n",
        "\r\n",
        "+no return\n",
        "$x\r\n",
        "$\r\n",
        "$-2\r\n",
        "$33\r\n",
        "*65\r\n",
        "*-2\r\n",
        "$1\r\nabc",
        "*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n",
        "$9999999999999999999\r\n",
        ":1-\r\n"
      })
  void rejectsMalformedAndOversizedInput(String text) {
    assertThrows(ProtocolException.class, () -> reader.next(Bytes.buffer(text)));
  }

  @Test
  void rejectsOverlongLine() {
    InputBuffer in = Bytes.buffer("+" + "x".repeat(2000));
    assertThrows(ProtocolException.class, () -> reader.next(in));
  }

  @Test
  void slicesStayValidWhileMoreIsRead() throws ProtocolException {
    InputBuffer in = Bytes.buffer("$5\r\nfirst\r\n");
    Slice first = ((RespValue.Bulk) reader.next(in)).bytes();
    for (int i = 0; i < 2000; i++) {
      Bytes.feed(in, "$5\r\nother\r\n");
      reader.next(in);
    }
    assertEquals("first", first.toString());
  }

  @Test
  void doesNotDoubleArrayAfterLargeValue() throws ProtocolException {
    InputBuffer in = Bytes.buffer("*2\r\n$60000\r\n");
    RespReader large = new RespReader(60_000);
    assertNull(large.next(in));
    Bytes.feed(in, "v".repeat(60_000) + "\r\n$3\r\nhi");
    assertNull(large.next(in));
    assertTrue(in.array().length < 70_000, "array of " + in.array().length);
    Bytes.feed(in, "t\r\n");
    assertEquals(2, ((RespValue.Array) large.next(in)).items().size());
  }

  /** Doubling would waste memory, as hundreds of large values are buffered at the same time. */
  @Test
  void allocatesExactArrayForLargeValueAndReleasesIt() throws ProtocolException {
    RespReader large = new RespReader(60_000);
    InputBuffer in = Bytes.buffer("$60000\r\n" + "v".repeat(1000));
    assertNull(large.next(in));
    assertEquals(60_010, in.expectedBytes());
    Bytes.feed(in, "v".repeat(59_000) + "\r\n");
    // The free space after the value lets the next read detect the end of the stream.
    assertEquals(60_000 + 10 + 512, in.array().length);
    assertEquals(60_000, ((RespValue.Bulk) large.next(in)).bytes().length());
    assertEquals(0, in.expectedBytes());
    assertEquals(0, in.array().length);
  }

  /** Wherever a string is cut off, the rest of its message and the next one stay readable. */
  @Test
  void discardsIncompleteStringWithoutTheBytesAroundIt() throws ProtocolException {
    String head = "*3\r\n$2\r\nab\r\n$30\r\n";
    String string = "v".repeat(30);
    String rest = "\r\n$2\r\ncd\r\n+next\r\n";
    for (int cut = 0; cut <= string.length() + 1; cut++) {
      String arrived = (head + string + rest).substring(0, head.length() + cut);
      InputBuffer in = Bytes.buffer(arrived);
      assertNull(reader.next(in));
      int toArrive = reader.discardIncompleteString(in);
      assertEquals(Math.max(0, string.length() - cut), toArrive);
      Bytes.feed(in, (head + string + rest).substring(arrived.length() + toArrive));
      List<RespValue> items = ((RespValue.Array) reader.next(in)).items();
      assertEquals("ab", ((RespValue.Bulk) items.get(0)).bytes().toString());
      assertEquals(0, ((RespValue.Bulk) items.get(1)).bytes().length());
      assertEquals("cd", ((RespValue.Bulk) items.get(2)).bytes().toString());
      assertEquals("+next", reader.next(in).frame().toString().trim());
    }
  }

  /**
   * Many clients may stop within a large value: none of it may be allocated before it is allowed.
   */
  @Test
  void allocatesNoMoreThanAllowedForIncompleteString() throws ProtocolException {
    InputBuffer in = Bytes.buffer("$60000\r\n");
    assertNull(new RespReader(60_000).next(in));
    in.ensureRoom(8_000);
    assertEquals(8_000 + 512, in.array().length);
  }
}
