package beaconturn.release;

/**
 * A place out of the budget of absence, taken before a planned step begins and given back once the
 * part is seen back. It hangs on no lease: whoever holds it may have died with the part out.
 *
 * @param number only grows, and is never given again
 * @param kind of the part
 * @param id of the part
 * @param holder who took it
 * @param reason why, in the holder's words
 */
public record DisruptionPermit(
    long number, InstanceKind kind, String id, String holder, String reason) {}
