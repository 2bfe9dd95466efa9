package beaconturn.release;

/**
 * A measure by which a changed instance exceeds its regression bound.
 *
 * @param description the figures in words, appended to those of the responses; may be empty
 * @param significant whether the difference is statistically significant
 */
record Regression(String description, boolean significant) {}
