package beaconturn.protocol;

/** Makes the RESP2 values that a router writes itself. */
public final class RespWriter {
    private static final int LONGEST_REASON = 200;

    private RespWriter() {
    }

    /** The header of a list of so many items. */
    public static Slice listOf(int count) {
        return Slice.of("*" + count + "\r\n");
    }

    /** A string of bytes, given as ASCII text. */
    public static Slice bulk(String text) {
        return Slice.of("$" + text.length() + "\r\n" + text + "\r\n");
    }

    /** A plain answer. */
    public static Slice simple(String text) {
        return Slice.of("+" + text + "\r\n");
    }

    /** An error; whatever could end its line is replaced. */
    public static Slice failure(String text) {
        String line = text.replaceAll("[^ -~]", "?");
        return Slice.of("-" + line.substring(0, Math.min(line.length(), LONGEST_REASON)) + "\r\n");
    }
}
