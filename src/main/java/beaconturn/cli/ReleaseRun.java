package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.Content;
import beaconturn.agreement.Desk;
import beaconturn.agreement.Keys;
import beaconturn.agreement.Snapshot;
import beaconturn.agreement.Texts;
import beaconturn.net.ConfigException;
import beaconturn.net.agreement.AgreementConfig;
import beaconturn.net.agreement.StoreClient;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import beaconturn.release.Absence;
import beaconturn.release.Bounds;
import beaconturn.release.Fleet;
import beaconturn.release.Forecast;
import beaconturn.release.Kind;
import beaconturn.release.Plan;
import beaconturn.release.ReleaseDesk;
import beaconturn.release.ReleaseKeys;
import beaconturn.release.Scene;
import beaconturn.release.Step;
import beaconturn.zones.ZonesKeys;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.UnaryOperator;

/** Carries out one order to releases. */
record ReleaseRun(
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
        Desk agreement = new Desk(new Keys(config.fleet()), store);
        Outside outside =
            (kind, fleet) ->
                ReleaseSight.gone(
                    kind, fleet, agreement, agreement.view(), new ZonesKeys(config.fleet()), store);
        return carryOut(
            order,
            word,
            new ReleaseDesk(new ReleaseKeys(config.fleet()), store, author, AgentRun::now),
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
    Absence seen(Kind kind, Fleet fleet) throws AgreementException;
  }

  private int carryOut(String order, String word, ReleaseDesk desk, Desk agreement, Outside outside)
      throws ConfigException, AgreementException, InterruptedException {
    switch (order) {
      case "fleet" -> System.out.println(desk.fleet(ReleaseFiles.fleet(word)));
      case "plan" -> {
        Scene scene = desk.look();
        Plan plan = ReleaseFiles.plan(word, reason, scene.fleet());
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
              desk.giveBack(Kind.of(kind) == null ? Kind.ROUTER : Kind.of(kind), word, reason));
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
  private int drain(String id, ReleaseDesk desk, Desk agreement, Outside outside)
      throws AgreementException, InterruptedException {
    System.out.println(
        id
            + " is out under permit "
            + desk.take(Kind.CACHE, id, reason, outside.seen(Kind.CACHE, desk.look().fleet())));
    return settled(agreement, id, true, now -> with(now, id, true));
  }

  private int undrain(String id, ReleaseDesk desk, Desk agreement)
      throws AgreementException, InterruptedException {
    int status = settled(agreement, id, false, now -> with(now, id, false));
    if (status == 0) {
      System.out.println(desk.giveBack(Kind.CACHE, id, reason));
    }
    return status;
  }

  private static Content with(Content now, String id, boolean out) {
    TreeSet<String> all = new TreeSet<>(now.out());
    if (out) {
      all.add(id);
    } else {
      all.remove(id);
    }
    return new Content(now.classes(), now.mostTries(), now.secondCopies(), now.oldestList(), all);
  }

  private int settled(Desk agreement, String id, boolean out, UnaryOperator<Content> change)
      throws AgreementException, InterruptedException {
    long until = System.nanoTime() + patience * SECOND;
    long number = propose(agreement, id, out, change, until);
    while (System.nanoTime() < until) {
      Snapshot seen = agreement.view().seen();
      if (seen.settled() >= number) {
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
            + String.join(", ", agreement.view().waiting()));
    return NOT_NOW;
  }

  /** Another version may be on its way: then this one waits for it, as long as there is time. */
  private long propose(
      Desk agreement, String id, boolean out, UnaryOperator<Content> change, long until)
      throws AgreementException, InterruptedException {
    while (true) {
      Snapshot seen = agreement.view().seen();
      if (!seen.open() && seen.current().content().out().contains(id) == out) {
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
  private static void plan(Scene scene, Plan plan, Map<String, String> gone)
      throws AgreementException {
    String objection = ReleaseDesk.objection(plan, scene);
    if (objection != null) {
      throw new AgreementException(objection);
    }
    Forecast forecast = Forecast.of(plan, scene, gone);
    double soak = plan.soak() / (double) SECOND;
    for (int i = 0; i < forecast.waves().size(); i++) {
      Forecast.Wave wave = forecast.waves().get(i);
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
    Bounds worse = plan.worse();
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

  private static void report(ReleaseDesk desk, String file)
      throws AgreementException, ConfigException {
    try {
      Files.writeString(Path.of(file), ReleaseReport.of(desk));
      System.out.println("written to " + file);
    } catch (IOException e) {
      throw new ConfigException(file + ": cannot be written: " + e.getClass().getSimpleName());
    }
  }

  private void show(Scene scene) {
    if (json) {
      System.out.println(
          JsonWriter.write(
              Texts.object(
                  "release",
                  scene.plan() == null ? 0 : scene.plan().number(),
                  "mode",
                  scene.course().mode().name().toLowerCase(Locale.ROOT),
                  "why",
                  scene.course().why(),
                  "driver",
                  scene.driver(),
                  "steps",
                  Texts.list(scene.steps().values().stream().map(ReleaseRun::json).toList()),
                  "permits",
                  Texts.list(
                      scene.permits().values().stream()
                          .map(
                              p ->
                                  Texts.object(
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
                + ReleaseDesk.words(scene.course())
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
    for (Kind each : Kind.values()) {
      Fleet.Group group = scene.fleet().group(each);
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

  private static Json json(Step s) {
    return Texts.object(
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
