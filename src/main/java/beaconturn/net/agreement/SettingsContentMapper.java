package beaconturn.net.agreement;

import beaconturn.agreement.ClassIdempotency;
import beaconturn.agreement.ClassRule;
import beaconturn.agreement.ConfigContent;
import beaconturn.core.RouterSettings;
import beaconturn.decision.Routing;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Between the settings of a router and the contents of versions. */
final class SettingsContentMapper {
  private SettingsContentMapper() {}

  /** What a router is configured with, as a whole content. */
  static ConfigContent of(RouterSettings settings) {
    TreeMap<String, ClassRule> classes = new TreeMap<>();
    for (int i = 0; i < settings.classNames().size(); i++) {
      Routing.RequestClass type = settings.routing().classes().get(i);
      classes.put(
          settings.classNames().get(i),
          new ClassRule(
              ClassIdempotency.valueOf(type.effect().name()), type.window(), type.deadline()));
    }
    Routing.Permissions may = settings.routing().permissions();
    return new ConfigContent(classes, may.maxTries(), may.secondCopies(), 0, new TreeSet<>());
  }

  /** Why a router so configured cannot follow the content, or null if it can. */
  static String objection(RouterSettings configured, ConfigContent content) {
    for (Map.Entry<String, ClassRule> said : content.classes().entrySet()) {
      int at = configured.classNames().indexOf(said.getKey());
      if (at < 0) {
        return "there is no class '" + said.getKey() + "' here";
      }
      Long deadline = said.getValue().deadline();
      if (deadline != null && deadline < configured.routing().classes().get(at).aim()) {
        return "class " + said.getKey() + ": the deadline is before the aim";
      }
    }
    return null;
  }

  /** The settings under a whole content. */
  static RouterSettings under(RouterSettings configured, ConfigContent content) {
    Routing.Settings r = configured.routing();
    List<Routing.RequestClass> classes = new ArrayList<>();
    for (int i = 0; i < r.classes().size(); i++) {
      Routing.RequestClass t = r.classes().get(i);
      ClassRule rule =
          content.classes().getOrDefault(configured.classNames().get(i), ClassRule.UNSAID);
      classes.add(
          new Routing.RequestClass(
              rule.effect() == null ? t.effect() : Routing.Effect.valueOf(rule.effect().name()),
              t.scope(),
              rule.window() == null ? t.window() : rule.window(),
              t.aim(),
              rule.deadline() == null ? t.deadline() : rule.deadline(),
              t.worth(),
              t.lateWorth(),
              t.stream()));
    }
    Routing.Permissions p = r.permissions();
    Routing.Permissions may =
        new Routing.Permissions(
            p.cancel(),
            p.peers(),
            p.probes(),
            p.retryAfter(),
            content.secondCopies() == null ? p.secondCopies() : content.secondCopies(),
            content.mostTries() == null ? p.maxTries() : content.mostTries(),
            p.maxRetryAfter(),
            p.multiplex(),
            p.connectTimeout(),
            p.connIdle());
    Routing.Settings under =
        new Routing.Settings(
            r.index(),
            r.routers(),
            r.zone(),
            r.askForList(),
            r.ratingStable(),
            r.worthByWork(),
            r.overShareWorth(),
            r.tick(),
            List.copyOf(classes),
            r.tenants(),
            r.rules(),
            may,
            r.origin(),
            r.reportNames());
    return under.equals(r)
        ? configured
        : new RouterSettings(
            under, configured.classNames(), configured.zones(), configured.kinds());
  }
}
