package beaconturn.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Consistent-hash ring of caches with clockwise traversal. Point positions depend only on server
 * ids, so that all routers agree and a membership change moves few keys. Supports one walk at a
 * time.
 */
final class HashRing {
  /** Virtual points of a cache of average rating; the literature recommends 100 to 200. */
  private static final int POINTS_PER_SERVER = 150;

  /** Bounds of a cache's number of points, as multiples of {@link #POINTS_PER_SERVER}. */
  private static final double MIN_RELATIVE_SIZE = 0.25;

  private static final int MAX_RELATIVE_SIZE = 4;

  /**
   * Separates the point sequences of consecutive ids; larger than the number of points per cache.
   */
  private static final int ID_STRIDE = 4099;

  /** The low bits of a point hold the index of its cache, the remaining bits its ring position. */
  private static final long INDEX_MASK = 0xffff;

  private final KindLatencies kindLatencies = new KindLatencies();
  private final List<ServerState> members = new ArrayList<>();

  /** Sorted points; empty until the next walk builds them. */
  private long[] points = new long[0];

  private long walkNumber;
  private long[] visitedInWalk = new long[0];
  private int visited;
  private int nextPoint;

  void replaceMembers(List<ServerState> servers) {
    members.clear();
    members.addAll(servers);
    points = new long[0];
  }

  /** Returns the caches on the ring, in the order in which they became known. */
  List<ServerState> members() {
    return members;
  }

  int size() {
    return members.size();
  }

  /**
   * Records the response time of a cache relative to the mean; the latency of its kind affects its
   * number of points.
   */
  void recordLatency(ServerState server, double relativeTime) {
    if (kindLatencies.recordLatency(server.kind(), relativeTime)) {
      points = new long[0];
    }
  }

  /** Starts a walk clockwise from the position of a hash. */
  void startWalk(long hash) {
    if (points.length == 0) {
      buildPoints();
    }
    int index = Arrays.binarySearch(points, hash & ~INDEX_MASK);
    nextPoint = index >= 0 ? index : -index - 1;
    visited = 0;
    walkNumber++;
  }

  /** Returns the next distinct cache of the walk, or null after the last. */
  ServerState next() {
    while (visited < members.size()) {
      int index = (int) (points[nextPoint++ % points.length] & INDEX_MASK);
      if (visitedInWalk[index] != walkNumber) {
        visitedInWalk[index] = walkNumber;
        visited++;
        return members.get(index);
      }
    }
    return null;
  }

  private void buildPoints() {
    double ratingUnit = ratingUnit();
    long[] builtPoints = new long[MAX_RELATIVE_SIZE * POINTS_PER_SERVER * members.size()];
    int count = 0;
    for (int i = 0; i < members.size(); i++) {
      long idBase = members.get(i).id() * ID_STRIDE;
      long serverPoints = pointsOf(members.get(i), ratingUnit);
      for (int k = 0; k < serverPoints; k++) {
        builtPoints[count++] = (KeyHash.mix(idBase + k) & ~INDEX_MASK) | i;
      }
    }
    points = Arrays.copyOf(builtPoints, count);
    Arrays.sort(points);
    visitedInWalk = new long[members.size()];
  }

  /**
   * Returns the power of two nearest to the mean rating, so that membership changes rarely affect
   * it.
   */
  private double ratingUnit() {
    double mean = members.stream().mapToDouble(ServerState::rating).average().orElse(1);
    return StrictMath.pow(2, Math.rint(StrictMath.log(mean) / StrictMath.log(2)));
  }

  private long pointsOf(ServerState server, double ratingUnit) {
    double size = server.rating() / ratingUnit / kindLatencies.relativeTime(server.kind());
    return Math.round(
        POINTS_PER_SERVER * Math.max(MIN_RELATIVE_SIZE, Math.min(MAX_RELATIVE_SIZE, size)));
  }
}
