package beaconturn.zones;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Where the keys of all places go, and why.
 *
 * @param number only grows
 * @param rows by place
 * @param states of each place
 * @param flaps how often a place has gone and come back of late; kept so that another office goes
 *     on with it
 * @param why what the last change was for
 * @param by the incarnation of the office that made it
 */
public record ZonePlan(
    long number,
    SortedMap<String, ZoneAllocation> rows,
    SortedMap<String, State> states,
    SortedMap<String, Integer> flaps,
    String why,
    String by) {
  /** What a place is at. */
  public enum State {
    /** Its keys are served there, but for a trial part. */
    NEAR,
    /** More is wanted there than it carries: a part goes on. */
    SPILLING,
    /** Its keys are served elsewhere, but for a trial part. */
    FAILED_OVER,
    /** They come back by steps. */
    RETURNING,
    /** Its routers alone do not reach it. */
    SPLIT
  }

  /** A plan of its own. */
  public ZonePlan {
    rows = Collections.unmodifiableSortedMap(new TreeMap<>(rows));
    states = Collections.unmodifiableSortedMap(new TreeMap<>(states));
    flaps = Collections.unmodifiableSortedMap(new TreeMap<>(flaps));
  }

  /** The plan before any: all near. */
  public static ZonePlan first(ZoneTopology map) {
    SortedMap<String, ZoneAllocation> rows = new TreeMap<>();
    SortedMap<String, State> states = new TreeMap<>();
    for (String place : map.places()) {
      rows.put(place, calm(map, place));
      states.put(place, State.NEAR);
    }
    return new ZonePlan(0, rows, states, new TreeMap<>(), "", "");
  }

  /** All near but a trial part at the nearest other place, which keeps evidence of it. */
  public static ZoneAllocation calm(ZoneTopology map, String place) {
    return with(map, place, ZoneAllocation.TRIAL);
  }

  /**
   * What a router may do that holds no lease on a plan and finds its own place bad: its reserve at
   * the nearest other place, which every plan leaves to it.
   */
  public static ZoneAllocation floor(ZoneTopology map, String place) {
    return with(map, place, Math.max(ZoneAllocation.TRIAL, map.reserve()));
  }

  private static ZoneAllocation with(ZoneTopology map, String place, int far) {
    Map<String, Integer> parts = new LinkedHashMap<>();
    List<String> others = map.others(place);
    parts.put(place, others.isEmpty() ? ZoneAllocation.WHOLE : ZoneAllocation.WHOLE - far);
    if (!others.isEmpty()) {
      parts.put(others.get(0), far);
    }
    return new ZoneAllocation(parts);
  }

  /** The row of a place; near where the plan does not know it. */
  public ZoneAllocation row(String place) {
    return rows.getOrDefault(place, ZoneAllocation.near(place));
  }
}
