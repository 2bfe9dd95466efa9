package beaconturn.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The consistent-hash ring of caches and the clockwise walk along it. Points come from the servers'
 * ids alone, so that all routers agree and a change of members moves few keys. One walk at a time.
 */
final class HashRing {
  /** Virtual points of a cache of mean rating; the article advises 100 to 200. */
  private static final int POINTS_PER_SERVER = 150;

  /** Bounds of a cache's points, as multiples of those of a cache of mean rating. */
  private static final double MIN_SIZE = 0.25;

  private static final int MAX_SIZE = 4;

  /** Sets the points of successive ids apart: more than a cache has points. */
  private static final int ID_STRIDE = 4099;

  /** The low bits of a point hold the index of its cache, the others its position on the ring. */
  private static final long INDEX_MASK = 0xffff;

  private final KindSpeeds kindSpeeds = new KindSpeeds();
  private final List<ServerState> members = new ArrayList<>();

  /** Sorted; empty until the next walk builds them. */
  private long[] points = new long[0];

  private long walk;
  private long[] seenInWalk = new long[0];
  private int seen;
  private int nextPoint;

  /** Replaces the members. */
  void replaceMembers(List<ServerState> servers) {
    members.clear();
    members.addAll(servers);
    points = new long[0];
  }

  /** The caches on the ring, in the order in which they became known. */
  List<ServerState> members() {
    return members;
  }

  int size() {
    return members.size();
  }

  /** Notes how long a cache's answer took against the usual; speeds count in its points. */
  void answered(ServerState server, double relativeTime) {
    if (kindSpeeds.answered(server.kind(), relativeTime)) {
      points = new long[0];
    }
  }

  /** Begins a walk clockwise from the position of a hash. */
  void startWalk(long hash) {
    if (points.length == 0) {
      build();
    }
    int found = Arrays.binarySearch(points, hash & ~INDEX_MASK);
    nextPoint = found >= 0 ? found : -found - 1;
    seen = 0;
    walk++;
  }

  /** The next cache of the walk, each once; null when all were seen. */
  ServerState next() {
    while (seen < members.size()) {
      int index = (int) (points[nextPoint++ % points.length] & INDEX_MASK);
      if (seenInWalk[index] != walk) {
        seenInWalk[index] = walk;
        seen++;
        return members.get(index);
      }
    }
    return null;
  }

  private void build() {
    double unit = ratingUnit();
    long[] all = new long[MAX_SIZE * POINTS_PER_SERVER * members.size()];
    int count = 0;
    for (int i = 0; i < members.size(); i++) {
      long idBase = members.get(i).id() * ID_STRIDE;
      long serverPoints = pointsOf(members.get(i), unit);
      for (int k = 0; k < serverPoints; k++) {
        all[count++] = (KeyHash.mix(idBase + k) & ~INDEX_MASK) | i;
      }
    }
    points = Arrays.copyOf(all, count);
    Arrays.sort(points);
    seenInWalk = new long[members.size()];
  }

  /** The power of two nearest the mean rating: a change of members seldom moves it. */
  private double ratingUnit() {
    double mean = members.stream().mapToDouble(ServerState::rating).average().orElse(1);
    return Math.pow(2, Math.rint(Math.log(mean) / Math.log(2)));
  }

  private long pointsOf(ServerState server, double unit) {
    double size = server.rating() / unit / kindSpeeds.relativeTime(server.kind());
    return Math.round(POINTS_PER_SERVER * Math.max(MIN_SIZE, Math.min(MAX_SIZE, size)));
  }
}
