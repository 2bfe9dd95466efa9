package beaconturn.core;

/**
 * The properties of a client's request that the policy decides by.
 *
 * @param classIndex the index of its class in the settings that it was read under
 * @param keyHash the hash of its key, 0 for none
 * @param write whether it changes the value of its key
 * @param clientRetry whether the client states that it is a retry
 * @param tenantIndex the index of its tenant in the settings
 * @param workHintNanos the expected processing time, 0 if unknown
 * @param size the size that the client states, 0 if it states none
 */
public record RequestDescription(
    int classIndex,
    long keyHash,
    boolean write,
    boolean clientRetry,
    int tenantIndex,
    long workHintNanos,
    double size) {}
