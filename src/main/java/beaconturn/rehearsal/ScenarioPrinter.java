package beaconturn.rehearsal;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Prints a scenario with all keys, defaults included, as a scenario file. Reading that file returns
 * an equal scenario.
 */
final class ScenarioPrinter {
  private final StringBuilder out = new StringBuilder();

  private ScenarioPrinter() {}

  static String print(Scenario scenario) {
    ScenarioPrinter printer = new ScenarioPrinter();
    printer
        .line("name", quoted(scenario.name()))
        .line("about", quoted(scenario.about()))
        .line("seed", scenario.seed())
        .line("length", duration(scenario.lengthNanos()));
    printer.printFleet(scenario.fleet());
    printer
        .header("[origin]")
        .line("workers", scenario.origin().workers())
        .line("queue", scenario.origin().queueCapacity())
        .line("work", duration(scenario.origin().workNanos()))
        .line("fall_multiple", scenario.origin().overloadMultiple())
        .line("fall_after", duration(scenario.origin().overloadNanos()))
        .line("fall_for", duration(scenario.origin().outageNanos()));
    printer.header("[discovery]").line("lag", duration(scenario.listLagNanos()));
    printer.printRoutingSettings(scenario.routingSettings());
    scenario.requestClasses().forEach(printer::printRequestClass);
    scenario.routers().forEach(printer::printRouter);
    scenario.clientStreams().forEach(printer::printClientStream);
    scenario.faults().forEach(printer::printFault);
    if (scenario.agreement() != null) {
      printer
          .header("[agreement]")
          .line("lease", duration(scenario.agreement().leaseNanos()))
          .line("drift", scenario.agreement().clockDrift());
    }
    for (Scenario.VersionSpec version : scenario.versions()) {
      printer
          .header("[[version]]")
          .trigger("after", version.after())
          .line("at", duration(version.atNanos()))
          .line("reason", quoted(version.reason()))
          .line("out", quotedList(version.excludedServers()))
          .line("most_tries", version.maxAttempts())
          .line("unsafe", quotedList(version.unsafeClasses()))
          .line("newest_list", version.requiresCurrentList())
          .line("dies", version.killsProposer());
    }
    printer.printRelease(scenario);
    if (scenario.zones() != null) {
      printer
          .header("[zones]")
          .line("decided", scenario.zones().planned())
          .line("each_per_s", scenario.zones().serverRequestsPerSecond())
          .line("fetches_per_s", scenario.zones().fetchesPerSecond())
          .line("reserve", scenario.zones().reservePermille())
          .line("back_within", duration(scenario.zones().recoveryNanos()))
          .line("peak", scenario.zones().maxZoneLoad())
          .line("regions", quotedList(scenario.zones().regions()));
    }
    return printer.out.toString();
  }

  private void printRelease(Scenario scenario) {
    Scenario.ReleaseSpec release = scenario.release();
    if (release != null) {
      header("[release]")
          .line("kind", quoted(release.ofCacheServers() ? "cache" : "router"))
          .line("begins", release.startsAutomatically())
          .trigger("after", release.after())
          .line("at", duration(release.atNanos()))
          .line("most_out", release.maxUnavailable())
          .line("most_out_of_site", release.maxUnavailablePerSite())
          .line("soak", duration(release.soakNanos()))
          .line("samples", release.minResponses())
          .line("worse", release.failedRegressionBound())
          .line("limit", duration(release.readyTimeoutNanos()))
          .line("alone", duration(release.selfRollbackNanos()))
          .line("harm", quoted(lowerCaseName(release.defect())))
          .line("good_for", duration(release.healthyNanos()))
          .line("spare", release.toleratedFailures())
          .line("cores", release.coresPerInstance())
          .line("worse_missed", release.missedRegressionBound())
          .line("most_tries", release.maxAttempts());
      release.waves().forEach(wave -> header("[[release.wave]]").line("parts", quotedList(wave)));
    }
    for (Scenario.OperatorCommandSpec spec : scenario.operatorCommands()) {
      header("[[order]]")
          .trigger("after", spec.after())
          .line("at", duration(spec.atNanos()))
          .line("what", quoted(spec.command()));
      if (!spec.target().isEmpty()) {
        line("part", quoted(spec.target()));
      }
      if (spec.command().equals("budget")) {
        line("most_out", spec.maxUnavailable());
      }
    }
  }

  private void printFleet(Scenario.Fleet fleet) {
    header("[fleet]")
        .line("caches", fleet.cacheServerCount())
        .line("sites", quotedList(fleet.sites()))
        .line("cell", fleet.serversPerCell())
        .line("speed", fleet.serverSpec().speed())
        .line("workers", fleet.serverSpec().workers())
        .line("room", fleet.serverSpec().queueCapacity())
        .line("capacity", quoted(fleet.serverSpec().capacityBytes() + "B"))
        .line("ttl", duration(fleet.serverSpec().timeToLiveNanos()))
        .line("cold_share", fleet.serverSpec().coldSpeedShare())
        .line("cold_for", duration(fleet.serverSpec().warmUpNanos()))
        .line("fall_multiple", fleet.serverSpec().overloadMultiple())
        .line("fall_after", duration(fleet.serverSpec().overloadNanos()))
        .line("connections", fleet.serverSpec().maxConnections())
        .line("connect_work", duration(fleet.serverSpec().connectWorkNanos()))
        .line("multiplex", fleet.serverSpec().multiplex())
        .line("share_fetch", fleet.serverSpec().sharesFetches())
        .line("cancel", fleet.serverSpec().cancelsRunningWork())
        .line("report", quotedList(fleet.serverSpec().loadReportFields()));
  }

  private void printRoutingSettings(Scenario.RoutingSettings settings) {
    header("[settings]")
        .line("most_tries", settings.maxAttempts())
        .line("second_copies", settings.hedgingAllowed())
        .line("cancel", settings.cancellationAllowed())
        .line("most_retry_after", duration(settings.maxRetryAfterNanos()))
        .line("dial_timeout", duration(settings.connectTimeoutNanos()))
        .line("conn_idle", duration(settings.idleTimeoutNanos()))
        .line("drain_grace", duration(settings.drainGraceNanos()))
        .line("answer_slack", duration(settings.responseSlackNanos()))
        .line("ask_within", duration(settings.pollWithinNanos()));
  }

  private void printRequestClass(Scenario.RequestClass requestClass) {
    header("[[class]]")
        .line("name", quoted(requestClass.name()))
        .line("effect", quoted(lowerCaseName(requestClass.effect())))
        .line("share", requestClass.trafficShare())
        .line("work", duration(requestClass.workNanos()))
        .line("size", requestClass.valueBytes())
        .line("aim", duration(requestClass.latencyObjectiveNanos()))
        .line("deadline", duration(requestClass.deadlineNanos()))
        .line("worth", requestClass.priorityWeight())
        .line("window", duration(requestClass.deduplicationWindowNanos()))
        .line("scope", quoted(requestClass.deduplicationScope()));
  }

  private void printRouter(Scenario.RouterSpec router) {
    header("[[router]]")
        .line("name", quoted(router.name()))
        .line("memory_mb", router.memoryMb())
        .line("sockets", router.maxSockets())
        .line("site", quoted(router.site()))
        .line("lacks", quotedList(router.unknownClasses()));
    if (router.clockOffsetNanos() != 0) {
      line(
          router.clockOffsetNanos() > 0 ? "clock_fast" : "clock_slow",
          duration(Math.abs(router.clockOffsetNanos())));
    }
  }

  private void printClientStream(Scenario.ClientStream stream) {
    header("[[clients]]")
        .line("rate", stream.requestsPerSecond())
        .line("classes", quotedList(stream.classNames()))
        .line("keys", stream.keyCount())
        .line("skew", stream.keySkew())
        .line("retries", stream.maxRetries())
        .line("backoff", duration(stream.backoffNanos()))
        .line("try_share", stream.attemptTimeoutShare())
        .line("notice", duration(stream.failureDetectionNanos()))
        .line("from", duration(stream.fromNanos()))
        .line("to", duration(stream.toNanos()));
    if (!stream.site().isEmpty()) {
      line("site", quoted(stream.site()));
    }
    Scenario.ConnectionUsage usage = stream.connectionUsage();
    line("pipeline", usage.maxPipelined())
        .line("wrong", usage.invalidCommandShare())
        .line("pieces", usage.splitWriteShare())
        .line("hasty", usage.shortTimeoutShare())
        .line("leaves", usage.disconnectShare())
        .line("silent", usage.silentConnections());
  }

  private void printFault(Scenario.FaultSpec fault) {
    header("[[fault]]").line("kind", quoted(fault.kind().word()));
    if (!fault.targets().isEmpty()) {
      line("on", quotedList(fault.targets()));
    }
    switch (fault.kind()) {
      case SLOW, ORIGIN_SLOW -> line("factor", fault.amount());
      case ERRORS, SPOIL, RESET -> line("part", fault.amount());
      case DRAIN_LATE, DISCOVERY_SLOW, DISCOVERY_BACK, LINK_SLOW, STORE_SLOW ->
          line("delay", duration((long) fault.amount()));
      case LINK_THROTTLE -> line("bytes_per_second", (long) fault.amount());
      case STORE_BACK -> line("revisions", (long) fault.amount());
      default -> {}
    }
    if (!fault.linkDestination().isEmpty()) {
      line("way", quoted(fault.linkDestination()));
    }
    trigger("after", fault.after())
        .trigger("until", fault.until())
        .line("from", duration(fault.fromNanos()))
        .line("to", duration(fault.toNanos()));
  }

  private ScenarioPrinter trigger(String key, Trigger trigger) {
    return trigger == null ? this : line(key, quoted(trigger.toText()));
  }

  private ScenarioPrinter header(String table) {
    out.append('\n').append(table).append('\n');
    return this;
  }

  private ScenarioPrinter line(String key, Object value) {
    out.append(key).append(" = ").append(value).append('\n');
    return this;
  }

  private static String lowerCaseName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  private static String quoted(String text) {
    return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
  }

  /** Returns a TOML array of strings. */
  static String quotedList(List<String> texts) {
    return texts.stream().map(ScenarioPrinter::quoted).collect(Collectors.joining(", ", "[", "]"));
  }

  private static String duration(long nanos) {
    return nanos % 1_000_000 == 0 ? quoted(nanos / 1_000_000 + "ms") : quoted(nanos / 1000 + "us");
  }
}
