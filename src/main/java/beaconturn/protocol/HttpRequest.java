package beaconturn.protocol;

/** A request of HTTP/1.1; {@code keepAlive} says that its connection can be used again. */
public record HttpRequest(String method, String target, Slice body, boolean keepAlive) {
  /** The target's path without what follows a question mark. */
  public String path() {
    return target.split("\\?", 2)[0];
  }

  /** The value of a name behind the question mark, or the fallback where it is not given. */
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
