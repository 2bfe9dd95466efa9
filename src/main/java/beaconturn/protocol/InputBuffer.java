package beaconturn.protocol;

/**
 * Bytes read but not yet parsed. Read bytes are never moved or overwritten: when the array is full, what is
 * unparsed is copied to a new one, so that slices of the old stay valid as long as somebody holds them.
 */
public final class InputBuffer {
    private static final int CHUNK = 4096;
    private static final int LEAST_ROOM = 512;
    private byte[] bytes = new byte[CHUNK];
    private int start;
    private int end;

    /** Makes room for at least some bytes and returns how many fit behind {@link #end}. */
    public int room() {
        if (bytes.length - end < LEAST_ROOM) {
            int unparsed = end - start;
            byte[] next = new byte[Math.max(CHUNK, 2 * unparsed)];
            System.arraycopy(bytes, start, next, 0, unparsed);
            bytes = next;
            start = 0;
            end = unparsed;
        }
        return bytes.length - end;
    }

    /** The array to read into, from {@link #end} on, after {@link #room}. */
    public byte[] array() {
        return bytes;
    }

    /** Where the next byte goes. */
    public int end() {
        return end;
    }

    /** Notes that so many bytes were read. */
    public void filled(int count) {
        end += count;
    }

    /** How many bytes are unparsed. */
    public int size() {
        return end - start;
    }

    /** The unparsed byte at the position. */
    public byte at(int position) {
        return bytes[start + position];
    }

    /** A slice of the unparsed bytes. */
    public Slice slice(int from, int length) {
        return new Slice(bytes, start + from, length);
    }

    /** Notes that so many bytes are parsed. */
    public void consume(int count) {
        start += count;
    }
}
