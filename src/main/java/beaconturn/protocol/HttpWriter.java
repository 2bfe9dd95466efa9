package beaconturn.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Encodes HTTP/1.1 requests and responses. Stateless; safe for any thread. */
public final class HttpWriter {
  private static final int STATUS_OK = 200;

  private HttpWriter() {}

  /** A GET request on a persistent connection. */
  public static Slice get(String path, String host) {
    return Slice.of(
        "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n");
  }

  /** A POST request with a JSON body on a persistent connection. */
  public static Slice post(String path, String host, String body) {
    return withBody("POST " + path + " HTTP/1.1\r\nHost: " + host, body);
  }

  /** A response with a JSON body on a persistent connection. */
  public static Slice response(int status, String body) {
    return withBody("HTTP/1.1 " + status + (status == STATUS_OK ? " OK" : " Error"), body);
  }

  private static Slice withBody(String firstLine, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    byte[] head =
        (firstLine
                + "\r\nContent-Type: application/json\r\nContent-Length: "
                + bytes.length
                + "\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);
    byte[] all = Arrays.copyOf(head, head.length + bytes.length);
    System.arraycopy(bytes, 0, all, head.length, bytes.length);
    return new Slice(all, 0, all.length);
  }
}
