package beaconturn.protocol;

/**
 * An HTTP/1.1 request.
 *
 * @param method the method as received
 * @param target the path and query as received
 * @param body a slice of the input buffer; empty if there is none
 * @param keepAlive whether the connection can be reused
 */
public record HttpRequest(String method, String target, Slice body, boolean keepAlive) {
  /** The path, without the query. */
  public String path() {
    return target.split("\\?", 2)[0];
  }

  /** The value of a query parameter, or the fallback if it is absent. */
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
