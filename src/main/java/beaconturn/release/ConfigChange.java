package beaconturn.release;

import beaconturn.agreement.ConfigContent;

/**
 * The settings that go with a release, once they are proposed.
 *
 * @param number of their version
 * @param before what was in force before, for the way back
 * @param undone the number of the version that brings that back, or 0
 */
public record ConfigChange(long number, ConfigContent before, long undone) {}
