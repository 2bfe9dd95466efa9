package beaconturn.zones;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What whoever holds the office decides: from the plan at hand and what routers report to the next
 * plan, or none. What it remembers by itself is evidence and since when it has stood; one that
 * takes over waits for its own.
 */
public final class FailoverPlanner {
  /** So large a part of a place's keys is a large move, of which there is one at a time. */
  private static final int LARGE = 200;

  /** A return goes by such parts. */
  private static final int QUARTER = ZoneAllocation.WHOLE / 4;

  /**
   * A spill ends once so much of what is carried is wanted, or no more than is carried for long.
   */
  private static final double ENOUGH = 0.8;

  private static final int MOST_FLAPS = 5;

  /** From such a part of its attempts on a place suffers, bad or not. */
  private static final double SUFFERS = 0.25;

  /** So many times the spread of a count made by chance is no chance any more. */
  private static final double NO_CHANCE = 2;

  /** A place that takes so many times as long as it usually does is slow. */
  private static final double SLOWED = 2;

  /** A place of which nearly all attempts are bad is left, also where others are slow. */
  private static final double NEARLY_ALL = 0.9;

  /** Nanoseconds over which what is usual follows what is not far from it, and what is. */
  private static final double FOLLOWS = 30e9;

  private static final double FOLLOWS_FAR = 300e9;

  /** And so many times mean that another rate has begun. */
  private static final double CHANGED = 3;

  /** Nanoseconds over which a rate is evened out. */
  private static final double EVENED = 8e9;

  private final ZoneTopology map;
  private final FailoverTiming pace;
  private final EvidenceAggregator pool;
  private final long window;
  private boolean shared;
  private long sharedUntil = Long.MIN_VALUE;
  private final SortedMap<String, Long> badSince = new TreeMap<>();
  private final SortedMap<String, Long> goodSince = new TreeMap<>();
  private final SortedMap<String, Long> steppedAt = new TreeMap<>();
  private final SortedMap<String, Long> nearAt = new TreeMap<>();
  private final SortedMap<String, Long> overSince = new TreeMap<>();
  private final SortedMap<String, Long> underSince = new TreeMap<>();

  /** Since when the plan at hand stands, by this office's clock. */
  private long planAt;

  private long planSeen = -1;
  private long largeAt = Long.MIN_VALUE / 2;

  /** Requests a second that are wanted of each place. */
  private final SortedMap<String, Double> rates = new TreeMap<>();

  /** Microseconds that good answers usually take in each place. */
  private final SortedMap<String, Double> usual = new TreeMap<>();

  private long wantedAt;
  private String waits = "";

  /**
   * A decision over these places; {@code stale} is when a router that tells nothing new is not
   * heard, and a report that is gone sooner than {@code left} after it grew was taken back.
   */
  public FailoverPlanner(
      ZoneTopology map, FailoverTiming pace, long window, long stale, long left) {
    this.map = map;
    this.pace = pace;
    this.window = window;
    this.pool = new EvidenceAggregator(map, window, stale, pace.longest(), left);
  }

  /** What it waits for, in words; empty where it does not. */
  public String waits() {
    return waits;
  }

  /** What the evidence says of each place, and of routers that are alone with theirs, in words. */
  public SortedMap<String, String> says() {
    SortedMap<String, String> all = new TreeMap<>();
    map.places()
        .forEach(
            p ->
                all.put(
                    p,
                    pool.of(p).name().toLowerCase(Locale.ROOT).replace('_', ' ')
                        + ", "
                        + pool.says(p)));
    pool.broken()
        .forEach(r -> all.put(r, "broken router: finds nothing good while its neighbours do"));
    if (shared) {
      all.put("all", "most are bad at once: a cause that they share, nothing is moved");
    }
    return all;
  }

  /** The next plan, or null while nothing is to change. */
  public ZonePlan next(
      ZonePlan plan,
      Collection<ZoneReport> reports,
      Collection<ZoneOverride> orders,
      String me,
      long now) {
    waits = "";
    pool.hears(reports, now);
    if (plan.number() != planSeen) {
      planSeen = plan.number();
      planAt = now;
    }
    map.places().forEach(p -> watch(p, now));
    wantedAt = now;
    shared = shared(plan);
    sharedUntil = shared ? now + 2 * window + pace.confirm() : sharedUntil;
    if (now < sharedUntil) {
      // Evidence of some places is older than of others: the end of what they share does not show
      // at
      // once.
      waits = "most places are, or were a moment ago, bad at once: nothing is moved";
      badSince.replaceAll((place, since) -> now);
      return null;
    }
    Draft draft = new Draft(plan, now);
    for (String home : map.places()) {
      draft.decide(
          home,
          orders.stream().filter(o -> o.place().equals(home)).findFirst().orElse(null),
          orders);
    }
    return draft.done(me, now);
  }

  /**
   * Whether more than half of the places that are served near, and two at least, are bad at once.
   */
  private boolean shared(ZonePlan plan) {
    List<ZoneHealth> near =
        map.places().stream()
            .filter(p -> !away(plan.states().get(p)))
            .map(pool::of)
            .filter(v -> v != ZoneHealth.UNKNOWN)
            .toList();
    long bad = near.stream().filter(v -> v == ZoneHealth.BROKEN).count();
    return bad > 1 && 2 * bad > near.size();
  }

  private static boolean away(ZonePlan.State state) {
    return state == ZonePlan.State.FAILED_OVER || state == ZonePlan.State.SPLIT;
  }

  /**
   * What is wanted of a place: evened out over some seconds, but for what can be no chance, which
   * counts at once.
   */
  private void rate(String place, long now) {
    double last = pool.perSecond(place, now);
    double known = rates.getOrDefault(place, last);
    boolean other =
        Math.abs(last - known) > CHANGED * Math.sqrt(Math.max(1, known) / (window / 1e9));
    rates.put(
        place, other ? last : known + (last - known) * Math.min(1, (now - wantedAt) / EVENED));
  }

  /**
   * How long answers usually take there: sooner down than up, and a slow spell is not usual for
   * long.
   */
  private void time(String place, long now) {
    double micros = pool.micros(place);
    if (micros > 0) {
      double known = usual.getOrDefault(place, micros);
      double over = micros < known ? EVENED : micros < SLOWED * known ? FOLLOWS : FOLLOWS_FAR;
      usual.put(place, known + (micros - known) * Math.min(1, (now - wantedAt) / over));
    }
  }

  private void watch(String place, long now) {
    rate(place, now);
    time(place, now);
    boolean bad = lost(place);
    if (bad) {
      badSince.putIfAbsent(place, now);
      goodSince.remove(place);
    } else {
      badSince.remove(place);
      if (pool.good(place, place)) {
        goodSince.putIfAbsent(place, now);
      }
    }
  }

  /** Whether its own routers cannot use it. */
  private boolean lost(String place) {
    ZoneHealth verdict = pool.of(place);
    return verdict == ZoneHealth.BROKEN
        || verdict == ZoneHealth.NOT_LISTED
        || pool.bad(place, place);
  }

  /** Whether a place that has been bad may be used again by its own. */
  private boolean back(String place, int flaps, long now) {
    long calm = Math.min(pace.longest(), pace.calm() << Math.min(MOST_FLAPS, flaps));
    return now - goodSince.getOrDefault(place, now) >= calm;
  }

  /**
   * How long a router may still act on the plan before: until all that are heard say that they act
   * on this.
   */
  private boolean settled(ZonePlan plan, long now) {
    return now - planAt > pace.stated()
        || pool.reports(now).stream().allMatch(r -> r.plan() >= plan.number());
  }

  /** Requests a second that a place carries with one of its cache servers gone. */
  private double carries(String place, long now) {
    int warm = pool.warm(place, now);
    return (warm > 1 ? warm - 1 : warm) * map.eachPerSecond();
  }

  /** By how much a rate that was counted over the window may differ by chance, as arrivals do. */
  private double chance(double perSecond) {
    return NO_CHANCE * Math.sqrt(perSecond / (window / 1e9));
  }

  /** A plan in the making. */
  private final class Draft {
    private final ZonePlan plan;
    private final long now;
    private final SortedMap<String, ZoneAllocation> rows;
    private final SortedMap<String, ZonePlan.State> states;
    private final SortedMap<String, Integer> flaps;
    private final List<String> why = new ArrayList<>();
    private boolean large;

    private Draft(ZonePlan plan, long now) {
      this.plan = plan;
      this.now = now;
      this.rows = new TreeMap<>(plan.rows());
      this.states = new TreeMap<>(plan.states());
      this.flaps = new TreeMap<>(plan.flaps());
    }

    private void decide(String home, ZoneOverride order, Collection<ZoneOverride> orders) {
      ZonePlan.State state = states.getOrDefault(home, ZonePlan.State.NEAR);
      ZoneAllocation row = plan.row(home);
      boolean drained = order != null && order.what() == ZoneOverride.What.DRAIN;
      if (order != null && order.what() == ZoneOverride.What.HOLD) {
        return;
      }
      boolean gone = badSince.containsKey(home) && now - badSince.get(home) >= pace.confirm();
      int near = near(home, row, state, gone || drained);
      if (order != null && order.what() == ZoneOverride.What.WEIGHT) {
        near = Math.min(near, order.weight());
      }
      boolean back =
          away(state)
              ? back(home, flaps.getOrDefault(home, 0), now)
              : state != ZonePlan.State.RETURNING || pool.good(home, home);
      if (near > row.of(home) && !drained && !back) {
        waits = home + " has to be good for longer before its keys come back";
        near = row.of(home);
      }
      if (near > row.of(home)) {
        if (now - steppedAt.getOrDefault(home, Long.MIN_VALUE / 2) < pace.step()) {
          return;
        }
        near = Math.min(near, row.of(home) + QUARTER);
      }
      ZoneAllocation wanted = wanted(home, near, row, orders);
      if (near == row.of(home)
          && (wanted.movedFrom(row) <= ZoneAllocation.TRIAL
              || aboutTheSame(home, wanted, row, orders))) {
        // Another place for the trials is no reason for a plan, nor is room that differs by chance.
        return;
      }
      move(home, row, wanted, gone || drained);
    }

    /** Whether other places have about the room that they had by the row. */
    private boolean aboutTheSame(
        String home, ZoneAllocation wanted, ZoneAllocation row, Collection<ZoneOverride> orders) {
      double wants = Math.max(1, rates.get(home));
      return map.others(home).stream()
          .allMatch(
              other -> {
                double chance = Math.min(map.eachPerSecond() / 2, chance(rates.get(other)));
                double moved =
                    Math.abs(wanted.of(other) - row.of(other)) * wants / ZoneAllocation.WHOLE;
                return moved <= chance && !(row.of(other) > 0 && closed(home, other, orders));
              });
    }

    /** How many of its keys a place can serve itself. */
    private int near(String home, ZoneAllocation row, ZonePlan.State state, boolean gone) {
      if (gone) {
        return ZoneAllocation.NEAR_TRIAL;
      }
      if (badSince.containsKey(home)) {
        // Not for long enough yet.
        return row.of(home);
      }
      double wants = rates.get(home);
      double carries = carries(home, now);
      if (wants <= 0 || (carries <= 0 && pool.of(home) != ZoneHealth.GOOD)) {
        return row.of(home);
      }
      int most = ZoneAllocation.WHOLE - trial(home);
      int whole =
          (int)
              Math.max(
                  ZoneAllocation.NEAR_TRIAL,
                  Math.min(most, ZoneAllocation.WHOLE * carries / wants));
      if (wants - chance(wants) > carries) {
        overSince.putIfAbsent(home, now);
      } else {
        overSince.remove(home);
      }
      if (wants + chance(wants) <= carries) {
        underSince.putIfAbsent(home, now);
      } else {
        underSince.remove(home);
      }
      boolean under =
          wants <= ENOUGH * carries || now - underSince.getOrDefault(home, now) >= pace.longest();
      if (state == ZonePlan.State.NEAR) {
        // Entered where for a while more is wanted than is carried, left well below that.
        return now - overSince.getOrDefault(home, now) >= pace.confirm() ? whole : row.of(home);
      }
      boolean little = Math.abs(whole - row.of(home)) < ZoneAllocation.NEAR_TRIAL && whole < most;
      return little || (state == ZonePlan.State.SPILLING && whole > row.of(home) && !under)
          ? row.of(home)
          : whole;
    }

    private int trial(String home) {
      return map.others(home).isEmpty() ? 0 : ZoneAllocation.TRIAL;
    }

    /** What of it goes elsewhere, to the nearest that have room; what none has is refused. */
    private ZoneAllocation wanted(
        String home, int near, ZoneAllocation row, Collection<ZoneOverride> orders) {
      Map<String, Integer> parts = new LinkedHashMap<>();
      parts.put(home, near);
      double wants = Math.max(1, rates.get(home));
      int rest = ZoneAllocation.WHOLE - near;
      for (String other : map.others(home)) {
        if (rest <= 0) {
          break;
        }
        boolean closed = closed(home, other, orders);
        int most = closed ? 0 : (int) Math.max(0, ZoneAllocation.WHOLE * room(home, other) / wants);
        int part =
            Math.min(rest, Math.max(most, rest <= ZoneAllocation.TRIAL && !closed ? rest : 0));
        if (part > 0) {
          parts.put(other, part);
          rest -= part;
        }
      }
      if (parts.size() == 1 && !map.others(home).isEmpty()) {
        // Nobody takes any of it: it stays where it is, and what cannot be served is refused there.
        return row;
      }
      return new ZoneAllocation(parts);
    }

    private boolean closed(String home, String other, Collection<ZoneOverride> orders) {
      return lost(other)
          || pool.bad(home, other)
          || noBetter(home, other)
          || orders.stream()
              .anyMatch(o -> o.place().equals(other) && o.what() == ZoneOverride.What.DRAIN);
    }

    /**
     * Whether another place suffers by itself, and not clearly less: where a cause is shared some
     * find just more than half of their attempts bad and others just less, or get slow before they
     * get bad. What has been sent there already may be what makes it slow.
     */
    private boolean noBetter(String home, String other) {
      double there = pool.badShare(other);
      double here = pool.badShare(home);
      boolean slow =
          plan.row(home).of(other) <= ZoneAllocation.TRIAL
              && here < NEARLY_ALL
              && pool.micros(other) > SLOWED * usual.getOrDefault(other, Double.MAX_VALUE);
      return (there > SUFFERS && 2 * there > here) || (here > SUFFERS && slow);
    }

    /**
     * Requests a second that a place has room for, beside its own and what others may send there.
     * One of which nothing was ever heard may serve as much as it can, cut off from the store.
     */
    private double room(String home, String place) {
      if (!pool.knows(place)) {
        return 0;
      }
      double taken = pool.unheardPerSecond(place, now);
      for (String other : map.places()) {
        if (!other.equals(home)) {
          // Routers of the plan before may still be on their old rows.
          int part = Math.max(plan.row(other).of(place), rows.get(other).of(place));
          int alone = ZonePlan.floor(map, other).of(place);
          taken += rates.get(other) * Math.max(part, alone) / ZoneAllocation.WHOLE;
          taken +=
              other.equals(place)
                  ? 0
                  : pool.unheardPerSecond(other, now) * alone / ZoneAllocation.WHOLE;
        }
      }
      return carries(place, now) - taken;
    }

    private void move(String home, ZoneAllocation row, ZoneAllocation wanted, boolean gone) {
      int moved = wanted.movedFrom(row);
      if (moved >= LARGE && (large || now - largeAt < pace.step())) {
        waits = home + " waits for another large move";
        return;
      }
      double wants = Math.max(1, rates.get(home));
      int most = (int) Math.max(QUARTER / 2, ZoneAllocation.WHOLE * map.fetchesPerSecond() / wants);
      ZoneAllocation step = moved > most ? part(row, wanted, most / (double) moved) : wanted;
      if (step.equals(row)) {
        return;
      }
      large |= step.movedFrom(row) >= LARGE;
      rows.put(home, step);
      steppedAt.put(home, now);
      ZonePlan.State before = states.getOrDefault(home, ZonePlan.State.NEAR);
      ZonePlan.State next = state(home, before, step, gone);
      if (away(next) && !away(before)) {
        boolean longNear = nearAt.containsKey(home) && now - nearAt.get(home) >= pace.longest();
        flaps.put(home, longNear ? 0 : flaps.getOrDefault(home, -1) + 1);
      }
      if (next == ZonePlan.State.NEAR) {
        nearAt.putIfAbsent(home, now);
      } else {
        nearAt.remove(home);
      }
      states.put(home, next);
      why.add(
          home
              + " "
              + next.name().toLowerCase(Locale.ROOT).replace('_', ' ')
              + " "
              + step.parts()
              + ": "
              + pool.of(home).name().toLowerCase(Locale.ROOT)
              + ", "
              + pool.says(home));
    }

    private ZonePlan.State state(
        String home, ZonePlan.State before, ZoneAllocation step, boolean gone) {
      if (gone) {
        return pool.of(home) == ZoneHealth.LINK ? ZonePlan.State.SPLIT : ZonePlan.State.FAILED_OVER;
      }
      if (step.of(home) >= ZoneAllocation.WHOLE - trial(home)) {
        return ZonePlan.State.NEAR;
      }
      if (away(before) && step.of(home) <= ZoneAllocation.NEAR_TRIAL) {
        // Little is seen of a place that is only tried: that it is not found bad brings nothing
        // back.
        return before;
      }
      return away(before) || before == ZonePlan.State.RETURNING
          ? ZonePlan.State.RETURNING
          : ZonePlan.State.SPILLING;
    }

    /** A part of the way from one row to another. */
    private static ZoneAllocation part(ZoneAllocation from, ZoneAllocation to, double share) {
      Map<String, Integer> parts = new LinkedHashMap<>();
      List<String> names = new ArrayList<>(to.places());
      from.places().stream().filter(p -> !names.contains(p)).forEach(names::add);
      for (String place : names) {
        int part = from.of(place) + (int) Math.round(share * (to.of(place) - from.of(place)));
        if (part > 0) {
          parts.put(place, part);
        }
      }
      return new ZoneAllocation(parts);
    }

    /**
     * Null where nothing changes, or where more would go somewhere before all have left the plan
     * before.
     */
    private ZonePlan done(String me, long at) {
      if (rows.equals(plan.rows()) && states.equals(plan.states())) {
        return null;
      }
      if (!settled(plan, at)) {
        waits = "plan " + plan.number() + " is not acted on by all yet";
        return null;
      }
      largeAt = large ? at : largeAt;
      return new ZonePlan(plan.number() + 1, rows, states, flaps, String.join("; ", why), me);
    }
  }
}
