package beaconturn.protocol;

/** Makes the HTTP/1.1 requests that a router sends. */
public final class HttpWriter {
    private HttpWriter() {
    }

    /** A request for the path that asks to keep the connection. */
    public static Slice get(String path, String host) {
        return Slice.of("GET " + path + " HTTP/1.1\r\nHost: " + host
            + "\r\nAccept: application/json\r\n\r\n");
    }
}
