package beaconturn.rehearsal;

import beaconturn.history.HistoryEvent;
import beaconturn.history.InvariantResult;
import beaconturn.history.RequestTrace;
import beaconturn.history.Violation;
import beaconturn.history.ZoneCrossings;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What a rehearsal has shown.
 *
 * @param scenario what was played
 * @param start when the first second began, in nanoseconds of the account's clock
 * @param entries the whole account
 * @param verdicts rule by rule
 * @param classes what clients felt
 * @param kitCpu processor time of the kit during the play, in nanoseconds
 * @param routerCpu that of all routers, in nanoseconds
 * @param senderLate how late the 99th of a hundred requests was sent, in milliseconds
 * @param paused nanoseconds for which the machine kept the kit from running
 * @param fleet what a fleet that agrees shows beside, or null
 */
public record RehearsalReport(
    Scenario scenario,
    long start,
    List<HistoryEvent> entries,
    List<InvariantResult> verdicts,
    List<ClientStatistics.Line> classes,
    long kitCpu,
    long routerCpu,
    double senderLate,
    long paused,
    Fleet fleet) {
  private static final double SECOND = 1e9;
  private static final double KILO = 1024;

  /** Where the machine stood still for a larger part of a play, what was late may be its doing. */
  private static final double MOST_STILL = 0.2;

  /**
   * What became of each version, calls at the store in a second, and the most that a router held.
   */
  record Fleet(List<VersionTimeline> passages, double callsPerSecond, ProcessUsage footprint) {}

  /** Whether every rule was kept. */
  public boolean held() {
    return verdicts.stream().allMatch(InvariantResult::held);
  }

  /**
   * Whether the machine stood still for so much of the play that a broken rule may be its own
   * doing.
   */
  public boolean disturbed() {
    return paused > MOST_STILL * scenario.length();
  }

  /** For how long the machine stood still, in words. */
  String stoodStill() {
    return String.format(Locale.ROOT, "machine stood still for %.0f ms", paused / 1e6);
  }

  /** The tables, as text. */
  public String text() {
    StringBuilder out = new StringBuilder();
    out.append(
        String.format(Locale.ROOT, "%-16s %-7s %9s  %s%n", "rule", "", "checked", "first offence"));
    for (InvariantResult v : verdicts) {
      out.append(
          String.format(
              Locale.ROOT,
              "%-16s %-7s %9d  %s%n",
              v.rule(),
              v.held() ? "held" : "BROKEN",
              v.checked(),
              v.held() ? v.promise() : offence(v)));
    }
    for (InvariantResult v : verdicts) {
      for (Violation note : v.notes()) {
        out.append("noted, ").append(v.rule()).append(": ").append(line(note)).append('\n');
      }
    }
    out.append(
        String.format(
            Locale.ROOT,
            "%n%-14s %7s %7s %7s %7s %7s %7s %7s %7s %9s %9s %9s%n",
            "class",
            "wanted",
            "tries",
            "served",
            "refused",
            "failed",
            "no end",
            "no way",
            "in aim",
            "p50 ms",
            "p99 ms",
            "max ms"));
    for (ClientStatistics.Line c : classes) {
      out.append(
          String.format(
              Locale.ROOT,
              "%-14s %7d %7d %7d %7d %7d %7d %7d %7d %9.1f %9.1f %9.1f%n",
              c.type(),
              c.wanted(),
              c.tries(),
              c.served(),
              c.refused(),
              c.failed(),
              c.unanswered(),
              c.unreached(),
              c.inAim(),
              c.median(),
              c.p99(),
              c.most()));
    }
    out.append(
        String.format(
            Locale.ROOT,
            "%nseed %d, %.1f s played; processor time: kit %.2f s, "
                + "routers %.2f s; requests sent late by %.1f ms (p99); %s%n",
            scenario.seed(),
            scenario.length() / SECOND,
            kitCpu / SECOND,
            routerCpu / SECOND,
            senderLate,
            stoodStill()));
    out.append(
        !held() && disturbed()
            ? "which is over a fifth of the play: what was broken may be the"
                + " machine's doing, play it again\n"
            : "");
    if (fleet != null) {
      agreed(out);
    }
    if (scenario.zones() != null) {
      places(out);
    }
    return out.toString();
  }

  /** What a release came to: the last word on its course, or none. */
  public String ending() {
    return entries.stream()
        .filter(e -> e instanceof HistoryEvent.Ordered)
        .map(e -> ((HistoryEvent.Ordered) e).what())
        .reduce("none", (before, last) -> last);
  }

  /** In a few words, for a list of many plays. */
  public String summary() {
    long wanted = classes.stream().mapToLong(ClientStatistics.Line::wanted).sum();
    long served = classes.stream().mapToLong(ClientStatistics.Line::served).sum();
    long inForce =
        fleet == null ? 0 : fleet.passages().stream().filter(p -> p.inForce() >= 0).count();
    if (scenario.release() != null) {
      long steps = entries.stream().filter(e -> e instanceof HistoryEvent.Changed).count();
      return String.format(
          Locale.ROOT,
          "%d of %d served, %d steps, the release ended as %s",
          served,
          wanted,
          steps,
          ending());
    }
    return String.format(
        Locale.ROOT,
        "%d of %d served, %d of %d versions in force, contradiction %.0f ms",
        served,
        wanted,
        inForce,
        scenario.versions().size(),
        contradiction() / 1e6);
  }

  /** How far traffic went from its place; null where routers know of no places. */
  ZoneCrossings crossings() {
    return scenario.zones() == null ? null : ZoneCrossings.of(scenario.terms(0), entries);
  }

  /** What was decided of places, in its order. */
  List<HistoryEvent.Planned> plans() {
    return entries.stream()
        .filter(e -> e instanceof HistoryEvent.Planned)
        .map(e -> (HistoryEvent.Planned) e)
        .toList();
  }

  private void places(StringBuilder out) {
    ZoneCrossings c = crossings();
    for (HistoryEvent.Planned plan : plans()) {
      out.append(
          String.format(
              Locale.ROOT,
              "plan %d at %.1f s: %s%n",
              plan.number(),
              (plan.at() - start) / SECOND,
              plan.rows()));
    }
    double worst =
        new ServedBySecond(entries, start, (int) Math.ceil(scenario.length() / SECOND)).worst();
    out.append(
        String.format(
            Locale.ROOT,
            "places: %.1f %% of first sends went to others, %.1f %% before"
                + " the first trouble; at most %.2f times what its cache servers can do in"
                + " a second (%s); %d"
                + " calls at the origin; worst ten seconds %.1f %% served",
            100 * c.crossed(),
            100 * c.crossedCalm(),
            c.peak(),
            c.busiest(),
            c.fetches(),
            100 * worst));
    out.append(
        c.decidedAfter() < 0
            ? ""
            : String.format(
                Locale.ROOT,
                "; the first plan %.1f s after the trouble",
                c.decidedAfter() / SECOND));
    out.append(
        c.backAfter() < 0
            ? "\n"
            : String.format(
                Locale.ROOT, "; the last %.1f s after its end%n", c.backAfter() / SECOND));
  }

  private void agreed(StringBuilder out) {
    for (VersionTimeline p : fleet.passages()) {
      out.append(
          String.format(
              Locale.ROOT,
              "version %d proposed at %.3f s, %s, %s%n",
              p.number(),
              (p.proposed() - start) / SECOND,
              after(p, p.inForce(), "in force"),
              after(p, p.settled(), "settled")));
    }
    for (HistoryEvent entry : entries) {
      if (entry instanceof HistoryEvent.Ordered o) {
        out.append(
            String.format(
                Locale.ROOT, "release: %s at %.3f s%n", o.what(), (o.at() - start) / SECOND));
      }
    }
    out.append(
        String.format(
            Locale.ROOT,
            "longest contradiction %.0f ms of %.0f ms stated; %.1f calls a"
                + " second at the store; a router held %.1f MB and %d threads at most%n",
            contradiction() / 1e6,
            scenario.agreement().timing().stated() / 1e6,
            fleet.callsPerSecond(),
            fleet.footprint().memory() / KILO,
            fleet.footprint().threads()));
  }

  private static String after(VersionTimeline p, long at, String what) {
    return at < 0
        ? "not " + what
        : String.format(Locale.ROOT, "%s after %.0f ms", what, (at - p.proposed()) / 1e6);
  }

  private long contradiction() {
    return verdicts.stream().mapToLong(InvariantResult::most).max().orElse(0);
  }

  private String offence(InvariantResult v) {
    int count = v.offences().size();
    return line(v.offences().get(0)) + (count == 1 ? "" : " (" + count + " in all)");
  }

  private String line(Violation one) {
    return String.format(
        Locale.ROOT,
        "%.3f s%s%s: %s",
        (one.at() - start) / SECOND,
        one.request().isEmpty() ? "" : ", request " + one.request(),
        one.server().isEmpty() ? "" : ", " + one.server(),
        one.what());
  }

  /** The same as a page, with a picture of what was served beside what was out. */
  public String html() {
    return HtmlReport.of(this);
  }

  /** The same as JSON, with every offence. */
  public String json() {
    List<Json> rules = new ArrayList<>();
    for (InvariantResult v : verdicts) {
      rules.add(
          RouterConfigWriter.object(
              "rule",
              v.rule(),
              "held",
              v.held(),
              "checked",
              v.checked(),
              "offences",
              new Json.Items(v.offences().stream().map(this::json).toList()),
              "notes",
              new Json.Items(v.notes().stream().map(this::json).toList())));
    }
    List<Json> rows = new ArrayList<>();
    for (ClientStatistics.Line c : classes) {
      rows.add(
          RouterConfigWriter.object(
              "class",
              c.type(),
              "wanted",
              c.wanted(),
              "tries",
              c.tries(),
              "served",
              c.served(),
              "refused",
              c.refused(),
              "failed",
              c.failed(),
              "unanswered",
              c.unanswered(),
              "unreached",
              c.unreached(),
              "in_aim",
              c.inAim(),
              "p50_ms",
              c.median(),
              "p99_ms",
              c.p99(),
              "max_ms",
              c.most()));
    }
    return JsonWriter.write(
            RouterConfigWriter.object(
                "scenario",
                scenario.name(),
                "seed",
                scenario.seed(),
                "length_s",
                scenario.length() / SECOND,
                "held",
                held(),
                "rules",
                new Json.Items(rules),
                "classes",
                new Json.Items(rows),
                "kit_cpu_s",
                kitCpu / SECOND,
                "routers_cpu_s",
                routerCpu / SECOND,
                "sender_late_ms",
                senderLate,
                "paused_ms",
                paused / 1e6,
                "agreement",
                fleet == null ? new Json.Nothing() : agreed()))
        + "\n";
  }

  private Json agreed() {
    return RouterConfigWriter.object(
        "versions",
        new Json.Items(
            fleet.passages().stream()
                .map(
                    p ->
                        RouterConfigWriter.object(
                            "number",
                            p.number(),
                            "proposed_s",
                            (p.proposed() - start) / SECOND,
                            "in_force_ms",
                            took(p, p.inForce()),
                            "settled_ms",
                            took(p, p.settled())))
                .toList()),
        "contradiction_ms",
        contradiction() / 1e6,
        "stated_ms",
        scenario.agreement().timing().stated() / 1e6,
        "calls_per_second",
        fleet.callsPerSecond(),
        "router_kb",
        fleet.footprint().memory(),
        "router_threads",
        fleet.footprint().threads());
  }

  private static Json took(VersionTimeline p, long at) {
    return at < 0
        ? new Json.Nothing()
        : new Json.Figure(Double.toString((at - p.proposed()) / 1e6));
  }

  private Json json(Violation offence) {
    return RouterConfigWriter.object(
        "at_s",
        (offence.at() - start) / SECOND,
        "request",
        offence.request(),
        "server",
        offence.server(),
        "what",
        offence.what(),
        "story",
        RouterConfigWriter.texts(
            offence.request().isEmpty()
                ? List.of()
                : RequestTrace.of(entries, offence.request(), start)));
  }
}
