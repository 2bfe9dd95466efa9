package beaconturn.standin;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Derives independent random sources from one seed, so that draws of one component do not affect
 * those of another.
 */
public final class RandomSources {
  private final long seed;

  /** Creates the sources of a seed. */
  public RandomSources(long seed) {
    this.seed = seed;
  }

  /** Returns a new source for a component; the same seed and name give the same sequence. */
  public UniformRandomProvider of(String component) {
    long mixed = seed;
    for (int i = 0; i < component.length(); i++) {
      mixed = (mixed ^ component.charAt(i)) * 0x100000001b3L;
    }
    return RandomSource.XO_RO_SHI_RO_128_PP.create(mixed);
  }
}
