package beaconturn.protocol;

import java.io.ByteArrayOutputStream;
import java.util.Locale;

/** Reads answers and requests of HTTP/1.1 out of a buffer as they become whole. */
public final class HttpReader {
  private static final int LONGEST_HEAD = 8192;
  private static final int UNTIL_CLOSE = -1;

  private final int longestBody;
  private InputBuffer in;
  private int at;
  private int status;
  private int length;
  private boolean chunked;
  private boolean keepAlive;

  /** A reader that takes bodies of at most so many bytes. */
  public HttpReader(int longestBody) {
    this.longestBody = longestBody;
  }

  /** The next answer if it is whole, else null; {@code ended} says that no more bytes will come. */
  public HttpResponse next(InputBuffer buffer, boolean ended) throws ProtocolException {
    in = buffer;
    at = 0;
    if (!head()) {
      return null;
    }
    Slice body = chunked ? chunks() : plain(ended);
    if (body == null) {
      return null;
    }
    buffer.consume(at);
    return new HttpResponse(status, body, keepAlive);
  }

  /** The next request if it is whole, with its body, else null. */
  public HttpRequest nextRequest(InputBuffer buffer) throws ProtocolException {
    in = buffer;
    at = 0;
    Slice line = line();
    if (line == null) {
      return null;
    }
    String[] words = line.toString().split(" ");
    if (words.length != 3 || !words[2].matches("HTTP/1\\.[01]")) {
      throw new ProtocolException("no HTTP/1 request");
    }
    keepAlive = words[2].endsWith("1.1");
    length = 0;
    chunked = false;
    Slice body = headers() ? plain(false) : null;
    if (body == null) {
      return null;
    }
    buffer.consume(at);
    return new HttpRequest(words[0], words[1], body, keepAlive);
  }

  private boolean head() throws ProtocolException {
    Slice line = line();
    if (line == null) {
      return false;
    }
    String first = line.toString();
    if (!first.matches("HTTP/1\\.[01] [0-9]{3}( .*)?")) {
      throw new ProtocolException("no HTTP/1 answer");
    }
    keepAlive = first.startsWith("HTTP/1.1");
    status = Integer.parseInt(first.substring(9, 12));
    length = status == 204 || status == 304 ? 0 : UNTIL_CLOSE;
    chunked = false;
    return headers();
  }

  private boolean headers() throws ProtocolException {
    for (Slice line = line(); line != null; line = line()) {
      if (line.length() == 0) {
        keepAlive &= chunked || length != UNTIL_CLOSE;
        return true;
      }
      header(line.toString());
    }
    return false;
  }

  private void header(String line) throws ProtocolException {
    int colon = line.indexOf(':');
    if (colon <= 0) {
      throw new ProtocolException("HTTP header without a name");
    }
    String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
    String value = line.substring(colon + 1).trim().toLowerCase(Locale.ROOT);
    if (name.equals("content-length")) {
      if (!value.matches("[0-9]{1,9}") || Integer.parseInt(value) > longestBody) {
        throw new ProtocolException("HTTP body of " + value + " bytes");
      }
      length = Integer.parseInt(value);
    } else if (name.equals("transfer-encoding")) {
      chunked = value.endsWith("chunked");
    } else if (name.equals("connection")) {
      keepAlive = value.contains("keep-alive") || (keepAlive && !value.contains("close"));
    }
  }

  private Slice plain(boolean ended) throws ProtocolException {
    int whole = length == UNTIL_CLOSE ? in.size() - at : length;
    if (whole > longestBody) {
      throw new ProtocolException("HTTP body too long");
    }
    if ((length == UNTIL_CLOSE && !ended) || in.size() - at < whole) {
      return null;
    }
    Slice body = in.slice(at, whole);
    at += whole;
    return body;
  }

  private Slice chunks() throws ProtocolException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      Slice line = line();
      if (line == null) {
        return null;
      }
      int size = chunkSize(line.toString());
      if (size == 0) {
        return trailer() ? new Slice(body.toByteArray(), 0, body.size()) : null;
      }
      if (body.size() + size > longestBody) {
        throw new ProtocolException("HTTP body too long");
      }
      if (in.size() < at + size + 2) {
        return null;
      }
      Slice chunk = in.slice(at, size);
      body.write(chunk.array(), chunk.from(), size);
      at += size;
      Slice end = line();
      if (end == null || end.length() != 0) {
        throw new ProtocolException("HTTP chunk not ended where it said");
      }
    }
  }

  private static int chunkSize(String line) throws ProtocolException {
    String digits = line.split(";", 2)[0].trim();
    if (!digits.matches("[0-9a-fA-F]{1,7}")) {
      throw new ProtocolException("unreadable size of an HTTP chunk");
    }
    return Integer.parseInt(digits, 16);
  }

  private boolean trailer() throws ProtocolException {
    for (Slice line = line(); line != null; line = line()) {
      if (line.length() == 0) {
        return true;
      }
    }
    return false;
  }

  private Slice line() throws ProtocolException {
    for (int i = at; i < in.size(); i++) {
      if (in.at(i) == '\n') {
        int end = i > at && in.at(i - 1) == '\r' ? i - 1 : i;
        Slice line = in.slice(at, end - at);
        at = i + 1;
        return line;
      }
      if (i - at > LONGEST_HEAD) {
        throw new ProtocolException("HTTP line too long");
      }
    }
    return null;
  }
}
