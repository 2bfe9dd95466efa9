package beaconturn.release;

import beaconturn.agreement.ConfigContent;

/**
 * The configuration version that goes with a release, once it is proposed.
 *
 * @param versionNumber number of that version
 * @param previousContent content that was in force before, which a rollback proposes again
 * @param revertVersionNumber number of the version that reverts the change, or 0 where none does
 */
public record ConfigChange(
    long versionNumber, ConfigContent previousContent, long revertVersionNumber) {}
