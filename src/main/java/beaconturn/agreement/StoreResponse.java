package beaconturn.agreement;

import java.util.List;

/** What became of a {@link StoreRequest}. */
public sealed interface StoreResponse {
  /**
   * The store has answered.
   *
   * @param held whether a swap's conditions held
   * @param cluster which store it is; another number is another store
   * @param revision how far the store has come
   * @param pairs what was read
   * @param lease the number of a lease that was asked for
   * @param seconds for how long that lease lives, 0 if it does not
   */
  record Given(
      boolean held, String cluster, long revision, List<Pair> pairs, long lease, long seconds)
      implements StoreResponse {}

  /** No answer, or one that cannot be used; a swap may or may not have come about. */
  record Failed(String why) implements StoreResponse {}

  /**
   * A key and its value, the revisions at which it was made and last changed, and its lease or 0.
   */
  record Pair(String key, String value, long made, long changed, long lease) {}
}
