package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementKeys;
import beaconturn.agreement.AgreementSnapshot;
import beaconturn.agreement.ConfigAdmin;
import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.StoredJson;
import beaconturn.net.ConfigException;
import beaconturn.net.agreement.AgreementConfig;
import beaconturn.net.agreement.StoreClient;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import beaconturn.release.InstanceKind;
import beaconturn.release.RegressionBounds;
import beaconturn.release.ReleaseFleet;
import beaconturn.release.RolloutAdmin;
import beaconturn.release.RolloutForecast;
import beaconturn.release.RolloutKeys;
import beaconturn.release.RolloutPlan;
import beaconturn.release.RolloutSnapshot;
import beaconturn.release.RolloutStep;
import beaconturn.release.Unavailability;
import beaconturn.zones.ZonesKeys;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.UnaryOperator;

/** Carries out one order to releases. */
record ReleaseRunner(
    String features, String reason, String author, String kind, int patience, boolean json) {
  private static final int WRONG = 1;
  private static final int USAGE = 2;
  private static final int NOT_NOW = 3;
  private static final long SECOND = 1_000_000_000;
  private static final long CALL = 5 * SECOND;
  private static final long STEP_MILLIS = 100;
  private static final double PERCENT = 100;

  int run(String order, String word) {
    try {
      AgreementConfig config = FeaturesFile.required(features);
      StoreClient store = new StoreClient(config.endpoints(), CALL);
      try {
        ConfigAdmin agreement = new ConfigAdmin(new AgreementKeys(config.fleet()), store);
        Outside outside =
            (kind, fleet) ->
                ObservedUnavailability.gone(
                    kind,
                    fleet,
                    agreement,
                    agreement.status(),
                    new ZonesKeys(config.fleet()),
                    store);
        return carryOut(
            order,
            word,
            new RolloutAdmin(new RolloutKeys(config.fleet()), store, author, AgentRunner::now),
            agreement,
            outside);
      } finally {
        store.close();
      }
    } catch (ConfigException e) {
      System.err.println("release: " + e.getMessage());
      return WRONG;
    } catch (AgreementException e) {
      System.err.println("release " + order + ": " + e.getMessage());
      return e.getMessage().startsWith("the store does not answer") ? WRONG : NOT_NOW;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return WRONG;
    }
  }

  /** What is seen of the fleet beside permits. */
  private interface Outside {
    Unavailability seen(InstanceKind kind, ReleaseFleet fleet) throws AgreementException;
  }

  private int carryOut(
      String order, String word, RolloutAdmin desk, ConfigAdmin agreement, Outside outside)
      throws ConfigException, AgreementException, InterruptedException {
    switch (order) {
      case "fleet" -> System.out.println(desk.fleet(ReleaseFiles.fleet(word)));
      case "plan" -> {
        RolloutSnapshot scene = desk.look();
        RolloutPlan plan = ReleaseFiles.plan(word, reason, scene.fleet());
        plan(scene, plan, outside.seen(plan.kind(), scene.fleet()).out());
      }
      case "start" ->
          System.out.println(desk.start(ReleaseFiles.plan(word, reason, desk.look().fleet())));
      case "halt" -> System.out.println(desk.halt(reason));
      case "resume" -> System.out.println(desk.resume(reason));
      case "back" -> System.out.println(desk.back(reason));
      case "abandon" -> System.out.println(desk.abandon(reason));
      case "drain" -> {
        return drain(word, desk, agreement, outside);
      }
      case "undrain" -> {
        return undrain(word, desk, agreement);
      }
      case "lost" ->
          System.out.println(
              desk.giveBack(
                  InstanceKind.of(kind) == null ? InstanceKind.ROUTER : InstanceKind.of(kind),
                  word,
                  reason));
      case "show" -> show(desk.look());
      case "report" -> report(desk, word);
      case "history" -> desk.history().forEach(System.out::println);
      default -> {
        System.err.println("release: unknown order '" + order + "', see 'release --help'");
        return USAGE;
      }
    }
    return 0;
  }

  /** A place first, then a version that holds it out; done when all routers act on that version. */
  private int drain(String id, RolloutAdmin desk, ConfigAdmin agreement, Outside outside)
      throws AgreementException, InterruptedException {
    System.out.println(
        id
            + " is out under permit "
            + desk.take(
                InstanceKind.CACHE,
                id,
                reason,
                outside.seen(InstanceKind.CACHE, desk.look().fleet())));
    return settled(agreement, id, true, now -> with(now, id, true));
  }

  private int undrain(String id, RolloutAdmin desk, ConfigAdmin agreement)
      throws AgreementException, InterruptedException {
    int status = settled(agreement, id, false, now -> with(now, id, false));
    if (status == 0) {
      System.out.println(desk.giveBack(InstanceKind.CACHE, id, reason));
    }
    return status;
  }

  private static ConfigContent with(ConfigContent now, String id, boolean out) {
    TreeSet<String> all = new TreeSet<>(now.excludedServers());
    if (out) {
      all.add(id);
    } else {
      all.remove(id);
    }
    return new ConfigContent(
        now.classes(), now.maxAttempts(), now.hedging(), now.minListVersion(), all);
  }

  private int settled(
      ConfigAdmin agreement, String id, boolean out, UnaryOperator<ConfigContent> change)
      throws AgreementException, InterruptedException {
    long until = System.nanoTime() + patience * SECOND;
    long number = propose(agreement, id, out, change, until);
    while (System.nanoTime() < until) {
      AgreementSnapshot seen = agreement.status().snapshot();
      if (seen.settledNumber() >= number) {
        System.out.println(
            (out ? "nobody sends to " + id + " any more" : "all may send to " + id)
                + ": version "
                + number
                + " is settled");
        return 0;
      }
      Thread.sleep(STEP_MILLIS);
    }
    System.err.println(
        "version "
            + number
            + " is not settled yet, it waits for "
            + String.join(", ", agreement.status().awaitedMembers()));
    return NOT_NOW;
  }

  /** Another version may be on its way: then this one waits for it, as long as there is time. */
  private long propose(
      ConfigAdmin agreement,
      String id,
      boolean out,
      UnaryOperator<ConfigContent> change,
      long until)
      throws AgreementException, InterruptedException {
    while (true) {
      AgreementSnapshot seen = agreement.status().snapshot();
      if (!seen.hasOpenStep() && seen.current().content().excludedServers().contains(id) == out) {
        return seen.current().number();
      }
      try {
        return agreement.propose(change, author, reason, System.currentTimeMillis());
      } catch (AgreementException e) {
        if (System.nanoTime() > until) {
          throw e;
        }
        Thread.sleep(STEP_MILLIS);
      }
    }
  }

  /** What a release would do, before it is begun. */
  private static void plan(RolloutSnapshot scene, RolloutPlan plan, Map<String, String> gone)
      throws AgreementException {
    String objection = RolloutAdmin.objection(plan, scene);
    if (objection != null) {
      throw new AgreementException(objection);
    }
    RolloutForecast forecast = RolloutForecast.of(plan, scene, gone);
    double soak = plan.soak() / (double) SECOND;
    for (int i = 0; i < forecast.waves().size(); i++) {
      RolloutForecast.Wave wave = forecast.waves().get(i);
      System.out.printf(
          Locale.ROOT,
          "wave %d: %s; %d at a time at most, %d rounds, %.0f s of watching,"
              + " %d places left meanwhile%n",
          i + 1,
          String.join(" ", wave.parts()),
          wave.atOnce(),
          wave.rounds(),
          wave.rounds() * soak,
          wave.left());
    }
    System.out.printf(
        Locale.ROOT,
        "%.0f s and the time of %d restarts at the shortest, %.0f s with each"
            + " restart at its limit%n",
        forecast.shortest(),
        plan.parts().size(),
        forecast.longest());
    System.out.println(
        forecast.likely() > 0
            ? String.format(
                Locale.ROOT,
                "likely %.0f s: a restart took"
                    + " %.1f s the last time, and a part has its answers after %.1f s",
                forecast.likely(),
                forecast.restart(),
                forecast.watched())
            : "what is likely is not known: no restart or no load was seen of late");
    RegressionBounds worse = plan.worse();
    System.out.printf(
        Locale.ROOT,
        "goes back by itself: a part that is not ready within %.0f s; one that over %d answers has"
            + " %.1f %% more refusals and failures than the others, or after %.0f s %.1f %%"
            + " more late"
            + " answers,%n  %.1f %% more misses, avoids %.1f %% more of the cache servers,"
            + " holds %.0f %%"
            + " more memory, or as a cache server takes %.0f %% longer for hits%n",
        plan.limit() / (double) SECOND,
        plan.samples(),
        worse.bad() * PERCENT,
        soak,
        worse.late() * PERCENT,
        worse.missed() * PERCENT,
        worse.avoided() * PERCENT,
        worse.memory() * PERCENT,
        worse.slower() * PERCENT);
  }

  private static void report(RolloutAdmin desk, String file)
      throws AgreementException, ConfigException {
    try {
      Files.writeString(Path.of(file), ReleaseReport.of(desk));
      System.out.println("written to " + file);
    } catch (IOException e) {
      throw new ConfigException(file + ": cannot be written: " + e.getClass().getSimpleName());
    }
  }

  private void show(RolloutSnapshot scene) {
    if (json) {
      System.out.println(
          JsonWriter.write(
              StoredJson.object(
                  "release",
                  scene.plan() == null ? 0 : scene.plan().number(),
                  "mode",
                  scene.course().mode().name().toLowerCase(Locale.ROOT),
                  "why",
                  scene.course().why(),
                  "driver",
                  scene.driver(),
                  "steps",
                  StoredJson.list(
                      scene.steps().values().stream().map(ReleaseRunner::json).toList()),
                  "permits",
                  StoredJson.list(
                      scene.permits().values().stream()
                          .map(
                              p ->
                                  StoredJson.object(
                                      "number",
                                      p.number(),
                                      "kind",
                                      p.kind().word(),
                                      "id",
                                      p.id(),
                                      "holder",
                                      p.holder()))
                          .toList()))));
      return;
    }
    System.out.println(
        scene.plan() == null
            ? "no release"
            : "release "
                + scene.plan().number()
                + " ("
                + scene.plan().reason()
                + ") "
                + RolloutAdmin.words(scene.course())
                + "; driven by "
                + (scene.driver().isEmpty() ? "nobody" : scene.driver()));
    scene
        .steps()
        .values()
        .forEach(
            s ->
                System.out.println(
                    "  "
                        + s.id()
                        + " "
                        + s.phase().name().toLowerCase(Locale.ROOT)
                        + ", "
                        + s.variant().word()
                        + ", permit "
                        + s.permit()
                        + (s.why().isEmpty() ? "" : ": " + s.why())));
    for (InstanceKind each : InstanceKind.values()) {
      ReleaseFleet.Group group = scene.fleet().group(each);
      Map<String, String> out = scene.out(each, Map.of());
      System.out.println(
          each.word()
              + "s: "
              + group.all().size()
              + ", at most "
              + group.mostOut()
              + " out and "
              + group.mostOutOfSite()
              + " of a site; planned out: "
              + (out.isEmpty() ? "none" : out));
    }
  }

  private static Json json(RolloutStep s) {
    return StoredJson.object(
        "id",
        s.id(),
        "phase",
        s.phase().name().toLowerCase(Locale.ROOT),
        "variant",
        s.variant().word(),
        "permit",
        s.permit(),
        "why",
        s.why());
  }
}
