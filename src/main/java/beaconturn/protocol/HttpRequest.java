package beaconturn.protocol;

/**
 * A request of HTTP/1.1.
 *
 * @param method as it was sent
 * @param target path and query as they were sent
 * @param body a slice of the buffer that it was read from; empty if there is none
 * @param keepAlive whether the connection can be used again
 */
public record HttpRequest(String method, String target, Slice body, boolean keepAlive) {
  /** The path, without the query. */
  public String path() {
    return target.split("\\?", 2)[0];
  }

  /** The value of that name in the query, or the fallback where it is not given. */
  public String parameter(String name, String fallback) {
    String[] parts = target.split("\\?", 2);
    if (parts.length == 2) {
      for (String pair : parts[1].split("&")) {
        if (pair.startsWith(name + "=")) {
          return pair.substring(name.length() + 1);
        }
      }
    }
    return fallback;
  }
}
