package beaconturn.rehearsal;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Prints a whole scenario with every default, as a file that would be read the same. */
final class ScenarioPrinter {
  private final StringBuilder out = new StringBuilder();

  private ScenarioPrinter() {}

  static String of(Scenario s) {
    ScenarioPrinter e = new ScenarioPrinter();
    e.line("name", text(s.name()))
        .line("about", text(s.about()))
        .line("seed", s.seed())
        .line("length", time(s.length()));
    e.fleet(s.fleet());
    e.head("[origin]")
        .line("workers", s.origin().workers())
        .line("queue", s.origin().queue())
        .line("work", time(s.origin().work()))
        .line("fall_multiple", s.origin().fallMultiple())
        .line("fall_after", time(s.origin().fallAfter()))
        .line("fall_for", time(s.origin().fallFor()));
    e.head("[discovery]").line("lag", time(s.listLag()));
    e.rules(s.rules());
    s.types().forEach(e::type);
    for (Scenario.RouterSpec r : s.routers()) {
      e.head("[[router]]")
          .line("name", text(r.name()))
          .line("memory_mb", r.memoryMb())
          .line("sockets", r.sockets())
          .line("site", text(r.site()))
          .line("lacks", words(r.lacks()));
      if (r.clockOff() != 0) {
        e.line(r.clockOff() > 0 ? "clock_fast" : "clock_slow", time(Math.abs(r.clockOff())));
      }
    }
    s.clients().forEach(e::clients);
    s.faults().forEach(e::fault);
    if (s.agreement() != null) {
      e.head("[agreement]")
          .line("lease", time(s.agreement().lease()))
          .line("drift", s.agreement().drift());
    }
    for (Scenario.VersionSpec v : s.versions()) {
      e.head("[[version]]")
          .cue("after", v.after())
          .line("at", time(v.at()))
          .line("reason", text(v.reason()))
          .line("out", words(v.out()))
          .line("most_tries", v.mostTries())
          .line("unsafe", words(v.unsafe()))
          .line("newest_list", v.newest())
          .line("dies", v.dies());
    }
    e.release(s);
    if (s.zones() != null) {
      e.head("[zones]")
          .line("decided", s.zones().decided())
          .line("each_per_s", s.zones().each())
          .line("fetches_per_s", s.zones().fetches())
          .line("reserve", s.zones().reserve())
          .line("back_within", time(s.zones().backWithin()))
          .line("peak", s.zones().peak())
          .line("regions", words(s.zones().regions()));
    }
    return e.out.toString();
  }

  private void release(Scenario s) {
    Scenario.ReleaseSpec r = s.release();
    if (r != null) {
      head("[release]")
          .line("kind", text(r.caches() ? "cache" : "router"))
          .line("begins", r.begins())
          .cue("after", r.after())
          .line("at", time(r.at()))
          .line("most_out", r.mostOut())
          .line("most_out_of_site", r.mostOutOfSite())
          .line("soak", time(r.soak()))
          .line("samples", r.samples())
          .line("worse", r.worse())
          .line("limit", time(r.limit()))
          .line("alone", time(r.alone()))
          .line("harm", text(lower(r.harm())))
          .line("good_for", time(r.goodFor()))
          .line("spare", r.spare())
          .line("cores", r.cores())
          .line("worse_missed", r.worseMissed())
          .line("most_tries", r.mostTries());
      r.waves().forEach(wave -> head("[[release.wave]]").line("parts", words(wave)));
    }
    for (Scenario.OrderSpec o : s.orders()) {
      head("[[order]]")
          .cue("after", o.after())
          .line("at", time(o.at()))
          .line("what", text(o.what()));
      if (!o.part().isEmpty()) {
        line("part", text(o.part()));
      }
      if (o.what().equals("budget")) {
        line("most_out", o.mostOut());
      }
    }
  }

  private void fleet(Scenario.Fleet f) {
    head("[fleet]")
        .line("caches", f.caches())
        .line("sites", words(f.sites()))
        .line("cell", f.cell())
        .line("speed", f.shape().speed())
        .line("workers", f.shape().workers())
        .line("room", f.shape().queueCapacity())
        .line("capacity", text(f.shape().capacityBytes() + "B"))
        .line("ttl", time(f.shape().timeToLiveNanos()))
        .line("cold_share", f.shape().coldSpeedShare())
        .line("cold_for", time(f.shape().warmUpNanos()))
        .line("fall_multiple", f.shape().overloadMultiple())
        .line("fall_after", time(f.shape().overloadNanos()))
        .line("connections", f.shape().maxConnections())
        .line("connect_work", time(f.shape().connectWorkNanos()))
        .line("multiplex", f.shape().multiplex())
        .line("share_fetch", f.shape().sharesFetches())
        .line("cancel", f.shape().cancelsRunningWork())
        .line("report", words(f.shape().loadReportFields()));
  }

  private void rules(Scenario.Rules r) {
    head("[settings]")
        .line("most_tries", r.mostTries())
        .line("second_copies", r.secondCopies())
        .line("cancel", r.cancel())
        .line("most_retry_after", time(r.mostRetryAfter()))
        .line("dial_timeout", time(r.dialTimeout()))
        .line("conn_idle", time(r.idle()))
        .line("drain_grace", time(r.drainGrace()))
        .line("answer_slack", time(r.answerSlack()))
        .line("ask_within", time(r.askWithin()));
  }

  private void type(Scenario.Type t) {
    head("[[class]]")
        .line("name", text(t.name()))
        .line("effect", text(lower(t.effect())))
        .line("share", t.share())
        .line("work", time(t.work()))
        .line("size", t.size())
        .line("aim", time(t.aim()))
        .line("deadline", time(t.deadline()))
        .line("worth", t.worth())
        .line("window", time(t.window()))
        .line("scope", text(t.scope()));
  }

  private void clients(Scenario.Clients c) {
    head("[[clients]]")
        .line("rate", c.rate())
        .line("classes", words(c.classes()))
        .line("keys", c.keys())
        .line("skew", c.skew())
        .line("retries", c.retries())
        .line("backoff", time(c.backoff()))
        .line("try_share", c.tryShare())
        .line("notice", time(c.notice()))
        .line("from", time(c.from()))
        .line("to", time(c.to()));
    if (!c.site().isEmpty()) {
      line("site", text(c.site()));
    }
    Scenario.Conduct conduct = c.conduct();
    line("pipeline", conduct.pipeline())
        .line("wrong", conduct.wrong())
        .line("pieces", conduct.pieces())
        .line("hasty", conduct.hasty())
        .line("leaves", conduct.leaves())
        .line("silent", conduct.silent());
  }

  private void fault(Scenario.FaultSpec f) {
    head("[[fault]]").line("kind", text(f.kind().word()));
    if (!f.target().isEmpty()) {
      line("on", words(f.target()));
    }
    switch (f.kind()) {
      case SLOW, ORIGIN_SLOW -> line("factor", f.amount());
      case ERRORS, SPOIL, RESET -> line("part", f.amount());
      case DRAIN_LATE, DISCOVERY_SLOW, DISCOVERY_BACK, LINK_SLOW, STORE_SLOW ->
          line("delay", time((long) f.amount()));
      case LINK_THROTTLE -> line("bytes_per_second", (long) f.amount());
      case STORE_BACK -> line("revisions", (long) f.amount());
      default -> {}
    }
    if (!f.way().isEmpty()) {
      line("way", text(f.way()));
    }
    cue("after", f.after())
        .cue("until", f.until())
        .line("from", time(f.from()))
        .line("to", time(f.to()));
  }

  private ScenarioPrinter cue(String key, Trigger cue) {
    return cue == null ? this : line(key, text(cue.toText()));
  }

  private ScenarioPrinter head(String table) {
    out.append('\n').append(table).append('\n');
    return this;
  }

  private ScenarioPrinter line(String key, Object value) {
    out.append(key).append(" = ").append(value).append('\n');
    return this;
  }

  private static String lower(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  private static String text(String text) {
    return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
  }

  /** A list of texts, as a file has it. */
  static String words(List<String> words) {
    return words.stream().map(ScenarioPrinter::text).collect(Collectors.joining(", ", "[", "]"));
  }

  private static String time(long nanos) {
    return nanos % 1_000_000 == 0 ? text(nanos / 1_000_000 + "ms") : text(nanos / 1000 + "us");
  }
}
