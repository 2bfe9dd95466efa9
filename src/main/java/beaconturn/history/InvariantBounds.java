package beaconturn.history;

import java.util.List;
import java.util.Map;

/**
 * What is promised, in nanoseconds throughout.
 *
 * @param types the classes by name
 * @param mostTries commands for one request at the most
 * @param secondCopies whether a second one may be out while the first is
 * @param answerSlack how much later than its deadline a final answer may come
 * @param drainGrace how long after the news a draining server may get new work
 * @param sendSlack what a send's way through sockets is allowed on top
 * @param askWithin a router that asks nothing for so long counts as told
 * @param coldShare part of its speed that a server has right after a start
 * @param coldFor how long it takes to warm up
 * @param fallMultiple sent so many times what it can do ...
 * @param fallAfter ... over so long, it is pushed over
 * @param stated for how long two routers may act on contradicting versions
 * @param release what is promised of a release, or null
 * @param zones what is promised of places, or null
 */
public record InvariantBounds(
    Map<String, Type> types,
    int mostTries,
    boolean secondCopies,
    long answerSlack,
    long drainGrace,
    long sendSlack,
    long askWithin,
    double coldShare,
    long coldFor,
    double fallMultiple,
    long fallAfter,
    long stated,
    Release release,
    Zones zones) {
  /**
   * What is promised of a release.
   *
   * @param caches whether it is one of cache servers, and not of routers
   * @param sites the site of each part that may be released
   * @param mostOut so many parts may be out at once in all
   * @param mostOutOfSite so many of one site
   * @param seenWithin a part that is gone by itself counts as out from so long after
   * @param halt so long after a halt a step may still begin
   * @param harmful so many parts may run what is released, where that is harmful; 0 where it is not
   */
  public record Release(
      boolean caches,
      Map<String, String> sites,
      int mostOut,
      int mostOutOfSite,
      long seenWithin,
      long halt,
      int harmful) {}

  /**
   * What is promised of places.
   *
   * @param decided whether routers decide in common at all; where not, nothing of it is promised
   * @param homes the place of each router, by its number
   * @param backWithin so long after the last trouble all keys are served near again
   * @param trial the part that is sent elsewhere at all times
   * @param each requests a second that one cache server carries; over four fifths of what a place
   *     carries with one of its own gone is trouble too
   * @param peak no place is sent more than so many times what its cache servers can do in a second
   */
  public record Zones(
      boolean decided,
      List<String> homes,
      long backWithin,
      double trial,
      double each,
      double peak) {}

  /** Whether a request may run more than once. */
  public enum Effect {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** A class of request; {@code scope} is all, zone or cell. */
  public record Type(Effect effect, String scope, long window) {}

  /** The effect of a class; one that is unknown is taken for unsafe. */
  Effect effect(String type) {
    Type known = types.get(type);
    return known == null ? Effect.UNSAFE : known.effect();
  }
}
