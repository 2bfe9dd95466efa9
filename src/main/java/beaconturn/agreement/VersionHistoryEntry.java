package beaconturn.agreement;

/**
 * A version from the history of all proposed versions.
 *
 * @param version the version
 * @param rejectionReason why it was rejected, or null if it was not
 */
public record VersionHistoryEntry(ConfigVersion version, String rejectionReason) {}
