package beaconturn.protocol;

/**
 * An HTTP/1.1 response.
 *
 * @param status the status code
 * @param body a slice of the input buffer or a copy; empty if there is none
 * @param keepAlive whether the connection can be reused
 */
public record HttpResponse(int status, Slice body, boolean keepAlive) {}
