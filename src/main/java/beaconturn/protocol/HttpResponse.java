package beaconturn.protocol;

/** An answer of HTTP/1.1; {@code keepAlive} says that its connection can be used again. */
public record HttpResponse(int status, Slice body, boolean keepAlive) {}
