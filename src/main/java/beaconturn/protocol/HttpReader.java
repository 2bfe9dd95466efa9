package beaconturn.protocol;

import java.io.ByteArrayOutputStream;
import java.util.Locale;

/**
 * An incremental reader of HTTP/1.1 responses and requests. Each call starts at the first unparsed
 * byte and consumes nothing unless it returns a complete message. For one thread; bodies are slices
 * of the buffer, or copies if they were chunked.
 */
public final class HttpReader {
  private static final int MAX_LINE_BYTES = 8192;
  private static final int STATUS_NO_CONTENT = 204;
  private static final int STATUS_NOT_MODIFIED = 304;
  private static final int LINE_END_BYTES = 2;
  private static final int HEX_RADIX = 16;

  /** A body length: the body ends when the connection is closed. */
  private static final int UNTIL_CLOSE = -1;

  private final int maxBodyBytes;

  // State of the current message.
  private InputBuffer input;
  private int position;
  private int status;
  private int bodyBytes;
  private boolean chunked;
  private boolean keepAlive;

  /** Creates a reader that accepts bodies up to that size. */
  public HttpReader(int maxBodyBytes) {
    this.maxBodyBytes = maxBodyBytes;
  }

  /**
   * The next response, or null if it is incomplete.
   *
   * @param ended whether the connection is closed, so that no more bytes follow
   * @throws ProtocolException if the response is malformed or too long
   */
  public HttpResponse next(InputBuffer buffer, boolean ended) throws ProtocolException {
    input = buffer;
    position = 0;
    if (!readResponseHead()) {
      return null;
    }
    Slice body = chunked ? readChunks() : readPlainBody(ended);
    if (body == null) {
      return null;
    }
    buffer.consume(position);
    return new HttpResponse(status, body, keepAlive);
  }

  /**
   * The next request with its body, or null if it is incomplete.
   *
   * @throws ProtocolException if the request is malformed or too long
   */
  public HttpRequest nextRequest(InputBuffer buffer) throws ProtocolException {
    input = buffer;
    position = 0;
    Slice line = readLine();
    if (line == null) {
      return null;
    }
    String[] parts = line.toString().split(" ");
    if (parts.length != 3 || !parts[2].matches("HTTP/1\\.[01]")) {
      throw new ProtocolException("malformed HTTP/1 request line");
    }
    keepAlive = parts[2].endsWith("1.1");
    bodyBytes = 0;
    chunked = false;
    Slice body = readHeaders() ? readPlainBody(false) : null;
    if (body == null) {
      return null;
    }
    buffer.consume(position);
    return new HttpRequest(parts[0], parts[1], body, keepAlive);
  }

  /** Reads the status line and the headers; false if they are incomplete. */
  private boolean readResponseHead() throws ProtocolException {
    Slice line = readLine();
    if (line == null) {
      return false;
    }
    String first = line.toString();
    if (!first.matches("HTTP/1\\.[01] [0-9]{3}( .*)?")) {
      throw new ProtocolException("malformed HTTP/1 status line");
    }
    keepAlive = first.startsWith("HTTP/1.1");
    status = Integer.parseInt(first.substring(9, 12));
    boolean hasNoBody = status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
    bodyBytes = hasNoBody ? 0 : UNTIL_CLOSE;
    chunked = false;
    return readHeaders();
  }

  /** Reads headers up to the empty line; false if they are incomplete. */
  private boolean readHeaders() throws ProtocolException {
    for (Slice line = readLine(); line != null; line = readLine()) {
      if (line.length() == 0) {
        keepAlive &= chunked || bodyBytes != UNTIL_CLOSE;
        return true;
      }
      readHeader(line.toString());
    }
    return false;
  }

  private void readHeader(String line) throws ProtocolException {
    int colon = line.indexOf(':');
    if (colon <= 0) {
      throw new ProtocolException("HTTP header without a name");
    }
    String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
    String value = line.substring(colon + 1).trim().toLowerCase(Locale.ROOT);
    if (name.equals("content-length")) {
      bodyBytes = contentLength(value);
    } else if (name.equals("transfer-encoding")) {
      chunked = value.endsWith("chunked");
    } else if (name.equals("connection")) {
      keepAlive = value.contains("keep-alive") || (keepAlive && !value.contains("close"));
    }
  }

  private int contentLength(String digits) throws ProtocolException {
    if (!digits.matches("[0-9]{1,9}") || Integer.parseInt(digits) > maxBodyBytes) {
      throw new ProtocolException(
          "invalid HTTP content length " + digits + ", maximum is " + maxBodyBytes + " bytes");
    }
    return Integer.parseInt(digits);
  }

  private Slice readPlainBody(boolean ended) throws ProtocolException {
    int available = input.size() - position;
    int length = bodyBytes == UNTIL_CLOSE ? available : bodyBytes;
    if (length > maxBodyBytes) {
      throw new ProtocolException("HTTP body exceeds " + maxBodyBytes + " bytes");
    }
    if ((bodyBytes == UNTIL_CLOSE && !ended) || available < length) {
      return null;
    }
    Slice body = input.slice(position, length);
    position += length;
    return body;
  }

  private Slice readChunks() throws ProtocolException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      Slice line = readLine();
      if (line == null) {
        return null;
      }
      int size = chunkSize(line.toString());
      if (size == 0) {
        return readTrailer() ? new Slice(body.toByteArray(), 0, body.size()) : null;
      }
      if (body.size() + size > maxBodyBytes) {
        throw new ProtocolException("HTTP body exceeds " + maxBodyBytes + " bytes");
      }
      if (input.size() < position + size + LINE_END_BYTES) {
        return null;
      }
      readChunk(size, body);
    }
  }

  private void readChunk(int size, ByteArrayOutputStream body) throws ProtocolException {
    Slice chunk = input.slice(position, size);
    body.write(chunk.array(), chunk.from(), size);
    position += size;
    Slice end = readLine();
    if (end == null || end.length() != 0) {
      throw new ProtocolException("no line end after an HTTP chunk of the stated size");
    }
  }

  private static int chunkSize(String line) throws ProtocolException {
    String digits = line.split(";", 2)[0].trim();
    if (!digits.matches("[0-9a-fA-F]{1,7}")) {
      throw new ProtocolException("malformed HTTP chunk size");
    }
    return Integer.parseInt(digits, HEX_RADIX);
  }

  private boolean readTrailer() throws ProtocolException {
    for (Slice line = readLine(); line != null; line = readLine()) {
      if (line.length() == 0) {
        return true;
      }
    }
    return false;
  }

  /** The next line without its line end, or null if it is incomplete. */
  private Slice readLine() throws ProtocolException {
    for (int i = position; i < input.size(); i++) {
      if (input.at(i) == '\n') {
        boolean hasCarriageReturn = i > position && input.at(i - 1) == '\r';
        int end = hasCarriageReturn ? i - 1 : i;
        Slice line = input.slice(position, end - position);
        position = i + 1;
        return line;
      }
      if (i - position > MAX_LINE_BYTES) {
        throw new ProtocolException("HTTP line exceeds " + MAX_LINE_BYTES + " bytes");
      }
    }
    return null;
  }
}
