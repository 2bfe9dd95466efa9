package beaconturn.release;

import beaconturn.agreement.ConfigContent;

/**
 * The configuration version proposed for a release.
 *
 * @param versionNumber number of the proposed version
 * @param previousContent content that was in force before and that a rollback proposes again
 * @param revertVersionNumber number of the version that reverts the change; 0 before it is proposed
 */
public record ConfigChange(
    long versionNumber, ConfigContent previousContent, long revertVersionNumber) {}
