package beaconturn.agreement;

/**
 * A version that was proposed at some time.
 *
 * @param version the version
 * @param rejectionReason why it was turned down, or null
 */
public record VersionHistoryEntry(ConfigVersion version, String rejectionReason) {}
