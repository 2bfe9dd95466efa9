package beaconturn.protocol;

/**
 * A response of HTTP/1.1.
 *
 * @param status the three-digit status
 * @param body a slice of the buffer that it was read from, or a copy; empty if there is none
 * @param keepAlive whether the connection can be used again
 */
public record HttpResponse(int status, Slice body, boolean keepAlive) {}
