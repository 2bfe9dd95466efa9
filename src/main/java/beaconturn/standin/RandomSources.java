package beaconturn.standin;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Independent sources of chance from one seed, so that one part's draws do not move another's. */
public final class RandomSources {
  private final long seed;

  /** All sources of one seed. */
  public RandomSources(long seed) {
    this.seed = seed;
  }

  /** The source of a part, by its name; the same for the same seed and name. */
  public UniformRandomProvider of(String part) {
    long mixed = seed;
    for (int i = 0; i < part.length(); i++) {
      mixed = (mixed ^ part.charAt(i)) * 0x100000001b3L;
    }
    return RandomSource.XO_RO_SHI_RO_128_PP.create(mixed);
  }
}
