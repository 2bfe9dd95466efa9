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

/** Converts between router settings and version contents. Pure functions. */
final class SettingsContentMapper {
  private SettingsContentMapper() {}

  /** Converts the settings to a complete content without exclusions. */
  static ConfigContent contentOf(RouterSettings settings) {
    TreeMap<String, ClassRule> classes = new TreeMap<>();
    for (int i = 0; i < settings.classNames().size(); i++) {
      RequestClass requestClass = settings.routing().classes().get(i);
      classes.put(
          settings.classNames().get(i),
          new ClassRule(
              toClassIdempotency(requestClass.idempotency()),
              requestClass.deduplicationWindowNanos(),
              requestClass.deadlineNanos()));
    }
    RoutingPermissions permissions = settings.routing().permissions();
    return new ConfigContent(
        classes, permissions.maxAttempts(), permissions.hedging(), 0, new TreeSet<>());
  }

  /** Returns why a router with this configuration cannot apply the content, or null if it can. */
  static String objection(RouterSettings configured, ConfigContent content) {
    for (Map.Entry<String, ClassRule> rule : content.classes().entrySet()) {
      int index = configured.classNames().indexOf(rule.getKey());
      if (index < 0) {
        return "there is no class '" + rule.getKey() + "' here";
      }
      Long deadlineNanos = rule.getValue().deadlineNanos();
      if (deadlineNanos != null
          && deadlineNanos < configured.routing().classes().get(index).latencyObjectiveNanos()) {
        return "class " + rule.getKey() + ": the deadline is before the aim";
      }
    }
    return null;
  }

  /** Applies a complete content to the settings; returns the same object if nothing changes. */
  static RouterSettings applyContent(RouterSettings configured, ConfigContent content) {
    RoutingSettings routing = configured.routing();
    List<RequestClass> classes = new ArrayList<>();
    for (int i = 0; i < routing.classes().size(); i++) {
      ClassRule rule =
          content.classes().getOrDefault(configured.classNames().get(i), ClassRule.UNSPECIFIED);
      classes.add(applyRule(routing.classes().get(i), rule));
    }
    RoutingPermissions permissions = applyPermissions(routing.permissions(), content);
    RoutingSettings applied = withClassesAndPermissions(routing, classes, permissions);
    return applied.equals(routing)
        ? configured
        : new RouterSettings(
            applied, configured.classNames(), configured.zones(), configured.kinds());
  }

  private static RequestClass applyRule(RequestClass configured, ClassRule rule) {
    Long windowNanos = rule.deduplicationWindowNanos();
    Long deadlineNanos = rule.deadlineNanos();
    return new RequestClass(
        rule.idempotency() == null ? configured.idempotency() : toIdempotency(rule.idempotency()),
        configured.deduplicationScope(),
        windowNanos == null ? configured.deduplicationWindowNanos() : windowNanos,
        configured.latencyObjectiveNanos(),
        deadlineNanos == null ? configured.deadlineNanos() : deadlineNanos,
        configured.priorityWeight(),
        configured.latePriorityWeight(),
        configured.streamed());
  }

  private static RoutingPermissions applyPermissions(
      RoutingPermissions configured, ConfigContent content) {
    return new RoutingPermissions(
        configured.cancel(),
        configured.peers(),
        configured.probes(),
        configured.retryAfter(),
        content.hedging() == null ? configured.hedging() : content.hedging(),
        content.maxAttempts() == null ? configured.maxAttempts() : content.maxAttempts(),
        configured.maxRetryAfterNanos(),
        configured.maxRequestsPerConnection(),
        configured.connectTimeoutNanos(),
        configured.connectionIdleNanos());
  }

  private static RoutingSettings withClassesAndPermissions(
      RoutingSettings routing, List<RequestClass> classes, RoutingPermissions permissions) {
    return new RoutingSettings(
        routing.routerIndex(),
        routing.routerCount(),
        routing.zone(),
        routing.pollsDiscovery(),
        routing.stableRatings(),
        routing.priorityByWork(),
        routing.overQuotaPriorityWeight(),
        routing.tickNanos(),
        List.copyOf(classes),
        routing.tenants(),
        routing.safetyLimits(),
        permissions,
        routing.origin(),
        routing.loadReportFields());
  }

  private static ClassIdempotency toClassIdempotency(Idempotency idempotency) {
    return switch (idempotency) {
      case IDEMPOTENT -> ClassIdempotency.IDEMPOTENT;
      case IDEMPOTENCY_KEY -> ClassIdempotency.IDEMPOTENCY_KEY;
      case NON_IDEMPOTENT -> ClassIdempotency.NON_IDEMPOTENT;
    };
  }

  private static Idempotency toIdempotency(ClassIdempotency idempotency) {
    return switch (idempotency) {
      case IDEMPOTENT -> Idempotency.IDEMPOTENT;
      case IDEMPOTENCY_KEY -> Idempotency.IDEMPOTENCY_KEY;
      case NON_IDEMPOTENT -> Idempotency.NON_IDEMPOTENT;
    };
  }
}
