package beaconturn.core;

/**
 * What a client's request says of itself.
 *
 * @param classIndex its class, by the order of the settings that it was read under
 * @param keyHash the number that stands for its key, 0 for none
 * @param write whether it changes its key's value
 * @param clientRetry whether its client has asked before
 * @param tenantIndex its tenant, by the order of the settings
 * @param workHintNanos how much work it is likely to be, in nanoseconds; 0 where nobody says
 * @param size its size as its client states it, 0 where it does not
 */
public record RequestDescription(
    int classIndex,
    long keyHash,
    boolean write,
    boolean clientRetry,
    int tenantIndex,
    long workHintNanos,
    double size) {}
