package beaconturn.release;

/**
 * One measure in which a changed instance does worse than it may.
 *
 * @param description the figures in words, appended to those of the answers
 * @param certain whether chance would hardly make the difference
 */
record Regression(String description, boolean certain) {}
