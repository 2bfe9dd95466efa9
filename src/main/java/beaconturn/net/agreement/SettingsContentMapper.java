package beaconturn.net.agreement;

import beaconturn.agreement.ClassIdempotency;
import beaconturn.agreement.ClassRule;
import beaconturn.agreement.ConfigContent;
import beaconturn.core.RouterSettings;
import beaconturn.decision.Idempotency;
import beaconturn.decision.RequestClass;
import beaconturn.decision.RoutingPermissions;
import beaconturn.decision.RoutingSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Between the settings of a router and the contents of versions. */
final class SettingsContentMapper {
  private SettingsContentMapper() {}

  /** What a router is configured with, as a whole content. */
  static ConfigContent contentOf(RouterSettings settings) {
    TreeMap<String, ClassRule> classes = new TreeMap<>();
    for (int i = 0; i < settings.classNames().size(); i++) {
      RequestClass type = settings.routing().classes().get(i);
      classes.put(
          settings.classNames().get(i),
          new ClassRule(
              stored(type.idempotency()), type.deduplicationWindowNanos(), type.deadlineNanos()));
    }
    RoutingPermissions may = settings.routing().permissions();
    return new ConfigContent(classes, may.maxAttempts(), may.hedging(), 0, new TreeSet<>());
  }

  /** Why a router so configured cannot follow the content, or null if it can. */
  static String objection(RouterSettings configured, ConfigContent content) {
    for (Map.Entry<String, ClassRule> said : content.classes().entrySet()) {
      int at = configured.classNames().indexOf(said.getKey());
      if (at < 0) {
        return "there is no class '" + said.getKey() + "' here";
      }
      Long deadline = said.getValue().deadlineNanos();
      if (deadline != null
          && deadline < configured.routing().classes().get(at).latencyObjectiveNanos()) {
        return "class " + said.getKey() + ": the deadline is before the aim";
      }
    }
    return null;
  }

  /** The settings under a whole content. */
  static RouterSettings settingsUnder(RouterSettings configured, ConfigContent content) {
    RoutingSettings r = configured.routing();
    List<RequestClass> classes = new ArrayList<>();
    for (int i = 0; i < r.classes().size(); i++) {
      RequestClass t = r.classes().get(i);
      ClassRule rule =
          content.classes().getOrDefault(configured.classNames().get(i), ClassRule.UNSPECIFIED);
      classes.add(
          new RequestClass(
              rule.idempotency() == null ? t.idempotency() : routed(rule.idempotency()),
              t.deduplicationScope(),
              rule.deduplicationWindowNanos() == null
                  ? t.deduplicationWindowNanos()
                  : rule.deduplicationWindowNanos(),
              t.latencyObjectiveNanos(),
              rule.deadlineNanos() == null ? t.deadlineNanos() : rule.deadlineNanos(),
              t.priorityWeight(),
              t.latePriorityWeight(),
              t.streamed()));
    }
    RoutingPermissions p = r.permissions();
    RoutingPermissions may =
        new RoutingPermissions(
            p.cancel(),
            p.peers(),
            p.probes(),
            p.retryAfter(),
            content.hedging() == null ? p.hedging() : content.hedging(),
            content.maxAttempts() == null ? p.maxAttempts() : content.maxAttempts(),
            p.maxRetryAfterNanos(),
            p.multiplex(),
            p.connectTimeoutNanos(),
            p.connectionIdleNanos());
    RoutingSettings under =
        new RoutingSettings(
            r.routerIndex(),
            r.routerCount(),
            r.zone(),
            r.pollsDiscovery(),
            r.stableRatings(),
            r.priorityByWork(),
            r.overQuotaPriorityWeight(),
            r.tickNanos(),
            List.copyOf(classes),
            r.tenants(),
            r.safetyLimits(),
            may,
            r.origin(),
            r.loadReportFields());
    return under.equals(r)
        ? configured
        : new RouterSettings(
            under, configured.classNames(), configured.zones(), configured.kinds());
  }

  private static ClassIdempotency stored(Idempotency idempotency) {
    return switch (idempotency) {
      case IDEMPOTENT -> ClassIdempotency.IDEMPOTENT;
      case IDEMPOTENCY_KEY -> ClassIdempotency.IDEMPOTENCY_KEY;
      case NON_IDEMPOTENT -> ClassIdempotency.NON_IDEMPOTENT;
    };
  }

  private static Idempotency routed(ClassIdempotency idempotency) {
    return switch (idempotency) {
      case IDEMPOTENT -> Idempotency.IDEMPOTENT;
      case IDEMPOTENCY_KEY -> Idempotency.IDEMPOTENCY_KEY;
      case NON_IDEMPOTENT -> Idempotency.NON_IDEMPOTENT;
    };
  }
}
