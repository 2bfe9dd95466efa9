package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementKeys;
import beaconturn.agreement.AgreementSnapshot;
import beaconturn.agreement.AgreementTiming;
import beaconturn.agreement.ConfigAdmin;
import beaconturn.agreement.ConfigCodec;
import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.ConfigVersion;
import beaconturn.agreement.MemberRecord;
import beaconturn.net.ConfigException;
import beaconturn.net.agreement.AgreementConfig;
import beaconturn.net.agreement.StoreClient;
import beaconturn.protocol.JsonWriter;
import java.time.Instant;
import java.util.Locale;
import java.util.UUID;

/** Carries out one order to the agreement. */
record AgreementRunner(String features, String reason, String author, int patience, boolean json) {
  private static final int WRONG = 1;
  private static final int USAGE = 2;
  private static final int NOT_NOW = 3;
  private static final long SECOND = 1_000_000_000;
  private static final long STEP_MILLIS = 100;
  private static final long CALL = 5 * SECOND;

  int run(String order, String argument) {
    StoreClient store = null;
    try {
      AgreementConfig config = FeaturesFile.required(features);
      if (order.equals("explain")) {
        explain(config.timing());
        return 0;
      }
      // A command that has just started holds no lease: it can wait longer than a router may.
      store = new StoreClient(config.endpoints(), CALL);
      ConfigAdmin desk = new ConfigAdmin(new AgreementKeys(config.fleet()), store);
      return carryOut(desk, order, argument);
    } catch (ConfigException e) {
      System.err.println("agreement: " + e.getMessage());
      return WRONG;
    } catch (AgreementException e) {
      System.err.println("agreement " + order + ": " + e.getMessage());
      return e.getMessage().startsWith("the store does not answer") ? WRONG : NOT_NOW;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return WRONG;
    } finally {
      if (store != null) {
        store.close();
      }
    }
  }

  private int carryOut(ConfigAdmin desk, String order, String argument)
      throws ConfigException, AgreementException, InterruptedException {
    switch (order) {
      case "init" -> System.out.println(desk.begin(UUID.randomUUID().toString()));
      case "propose" -> {
        ConfigContent content = ContentFile.read(argument);
        return await(
            desk, desk.propose(now -> content, author, reason, System.currentTimeMillis()));
      }
      case "back" -> {
        return await(desk, desk.back(author, reason, System.currentTimeMillis()));
      }
      case "withdraw" -> {
        desk.withdraw(reason);
        System.out.println("withdrawn");
      }
      case "lost" -> {
        desk.lost(argument);
        System.out.println(argument + " is declared lost");
      }
      case "show" -> show(desk);
      case "history" -> history(desk);
      default -> {
        System.err.println("agreement: unknown order '" + order + "', see 'agreement --help'");
        return USAGE;
      }
    }
    return 0;
  }

  /** Waits until the version is in force or turned down, as long as was asked for. */
  private int await(ConfigAdmin desk, long number) throws AgreementException, InterruptedException {
    System.out.println("version " + number + " is proposed");
    long until = System.nanoTime() + patience * SECOND;
    while (System.nanoTime() < until) {
      AgreementSnapshot seen = desk.view().seen();
      if (seen.current().number() >= number) {
        System.out.println("version " + number + " is in force");
        return 0;
      }
      if (seen.nextNumber() != number) {
        String why =
            desk.history().stream()
                .filter(p -> p.version().number() == number)
                .map(ConfigAdmin.Past::refused)
                .findFirst()
                .orElse(null);
        System.err.println("version " + number + " is turned down: " + why);
        return NOT_NOW;
      }
      Thread.sleep(STEP_MILLIS);
    }
    if (patience > 0) {
      System.err.println(
          "version "
              + number
              + " is not in force yet, it waits for "
              + String.join(", ", desk.view().waiting()));
      return NOT_NOW;
    }
    return 0;
  }

  private void show(ConfigAdmin desk) throws AgreementException {
    ConfigAdmin.View view = desk.view();
    AgreementSnapshot seen = view.seen();
    if (json) {
      System.out.println(
          JsonWriter.write(
              ConfigCodec.object(
                  "identity",
                  seen.identity(),
                  "current",
                  seen.current().number(),
                  "proposed",
                  seen.nextNumber(),
                  "settled",
                  seen.settled(),
                  "routers",
                  ConfigCodec.list(
                      view.seats().stream()
                          .map(
                              s ->
                                  ConfigCodec.object(
                                      "name",
                                      s.name(),
                                      "acts",
                                      s.acts(),
                                      "yes",
                                      s.yes(),
                                      "no",
                                      s.no(),
                                      "why",
                                      s.why(),
                                      "lease",
                                      desk.alive(view, s)))
                          .toList()),
                  "waiting",
                  ConfigCodec.texts(view.waiting()))));
      return;
    }
    System.out.println("agreement " + (seen.identity().isEmpty() ? "not begun" : seen.identity()));
    System.out.println("in force   " + line(seen.current()));
    System.out.println("proposed   " + (seen.next() == null ? "nothing" : line(seen.next())));
    System.out.println(
        "settled    version "
            + seen.settled()
            + (seen.open() ? "; waits for " + String.join(", ", view.waiting()) : ""));
    for (MemberRecord seat : view.seats()) {
      System.out.printf(
          Locale.ROOT,
          "  %-16s acts on %d, yes to %d%s%s%n",
          seat.name(),
          seat.acts(),
          seat.yes(),
          seat.no() > 0 ? ", no to " + seat.no() + ": " + seat.why() : "",
          desk.alive(view, seat) ? "" : ", no lease");
    }
  }

  private static String line(ConfigVersion v) {
    return v.number() == 0
        ? "each router's own configuration"
        : "version "
            + v.number()
            + ", "
            + Instant.ofEpochMilli(v.atMillis())
            + ", "
            + v.author()
            + ": "
            + v.reason()
            + " ("
            + v.digest().substring(0, 8)
            + ")";
  }

  private void history(ConfigAdmin desk) throws AgreementException {
    for (ConfigAdmin.Past past : desk.history()) {
      System.out.println(
          json
              ? ConfigCodec.of(past.version())
              : line(past.version())
                  + (past.refused() == null ? "" : "; turned down: " + past.refused())
                  + "\n    "
                  + JsonWriter.write(ConfigCodec.json(past.version().content())));
    }
  }

  private static void explain(AgreementTiming t) {
    double lease = t.lease() / (double) SECOND;
    System.out.printf(
        Locale.ROOT,
        "lease        %.1f s, renewed every %.2f s, a call takes %.2f s at most%n"
            + "store lease  %d s: longer than the lease by what two clocks may err (%.1f %%)%n"
            + "stated time  %.2f s: so long after a version is in force anywhere another"
            + " router may act "
            + "on the one before%n             = lease %.2f s by a slow clock + %.2f s to"
            + " put it in force%n"
            + "calls        %.0f a second at the store for 100 routers, %.0f for 1000%n",
        lease,
        t.renewEvery() / (double) SECOND,
        t.callTimeout() / (double) SECOND,
        t.storeLeaseSeconds(),
        t.drift() * 100,
        t.stated() / (double) SECOND,
        lease * (1 + t.drift()),
        t.apply() / (double) SECOND,
        t.callsPerSecond(100),
        t.callsPerSecond(1000));
  }
}
