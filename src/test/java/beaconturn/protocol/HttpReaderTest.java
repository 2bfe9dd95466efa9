package beaconturn.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpReaderTest {
  private final HttpReader reader = new HttpReader(100);

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\ncontent-length:4\r\nX: y\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n3;x=y\r\nody\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nTrailer: t\r\n\r\n"
      })
  void readsResponseOnceItIsComplete(String text) throws ProtocolException {
    InputBuffer in = new InputBuffer();
    for (int i = 0; i < text.length() - 1; i++) {
      Bytes.feed(in, text.substring(i, i + 1));
      assertNull(reader.next(in, false), "complete after " + (i + 1) + " bytes");
    }
    Bytes.feed(in, text.substring(text.length() - 1));
    HttpResponse response = reader.next(in, false);
    assertEquals("body", response.body().toString());
    assertEquals(200, response.status());
    assertTrue(response.keepAlive());
    assertEquals(0, in.size());
  }

  @Test
  void bodyWithoutLengthEndsWithConnection() throws ProtocolException {
    InputBuffer in = Bytes.buffer("HTTP/1.1 200 OK\r\n\r\nbody");
    assertNull(reader.next(in, false));
    HttpResponse response = reader.next(in, true);
    assertEquals("body", response.body().toString());
    assertFalse(response.keepAlive());
  }

  @Test
  void truncatedResponseIsIncomplete() throws ProtocolException {
    assertNull(reader.next(Bytes.buffer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody"), true));
  }

  @Test
  void closeHeaderAndHttp10DisableKeepAlive() throws ProtocolException {
    String head = " 503 x\r\nContent-Length: 0\r\n";
    InputBuffer closing = Bytes.buffer("HTTP/1.1" + head + "Connection: close\r\n\r\n");
    assertFalse(reader.next(closing, false).keepAlive());
    assertFalse(reader.next(Bytes.buffer("HTTP/1.0" + head + "\r\n"), false).keepAlive());
    assertEquals(503, reader.next(Bytes.buffer("HTTP/1.1" + head + "\r\n"), false).status());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "SSH-2.0\r\n",
        "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n"
      })
  void rejectsMalformedAndOversizedResponses(String text) {
    assertThrows(ProtocolException.class, () -> reader.next(Bytes.buffer(text), false));
  }

  @Test
  void readsRequestWithParameters() throws ProtocolException {
    String text = "GET /registry/instances?after=41&wait_ms=20000 HTTP/1.1\r\nHost: x\r\n\r\n";
    InputBuffer in = new InputBuffer();
    for (int i = 0; i < text.length() - 1; i++) {
      Bytes.feed(in, text.substring(i, i + 1));
      assertNull(reader.nextRequest(in), "complete after " + (i + 1) + " bytes");
    }
    Bytes.feed(
        in, text.substring(text.length() - 1) + "GET /b HTTP/1.0\r\nContent-Length: 2\r\n\r\nxy");
    HttpRequest first = reader.nextRequest(in);
    assertEquals("/registry/instances", first.path());
    assertEquals("41", first.parameter("after", ""));
    assertEquals("20000", first.parameter("wait_ms", ""));
    assertEquals("none", first.parameter("wait", "none"));
    assertTrue(first.keepAlive());
    HttpRequest second = reader.nextRequest(in);
    assertEquals("/b", second.target());
    assertFalse(second.keepAlive());
    assertEquals(0, in.size(), "the body is consumed");
  }

  @ParameterizedTest
  @ValueSource(strings = {"GET /\r\n\r\n", "GET / HTTP/2\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"})
  void rejectsMalformedRequests(String text) {
    assertThrows(ProtocolException.class, () -> reader.nextRequest(Bytes.buffer(text)));
  }

  @Test
  void readsWrittenResponse() throws ProtocolException {
    HttpResponse read = reader.next(Bytes.buffer(HttpWriter.response(503, "{}").toString()), false);
    assertEquals(503, read.status());
    assertEquals("{}", read.body().toString());
    assertTrue(read.keepAlive());
  }
}
