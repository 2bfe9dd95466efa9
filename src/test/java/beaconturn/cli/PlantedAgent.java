package beaconturn.cli;

import beaconturn.agreement.ConfigAdmin;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

/**
 * The agent of a part, a process, with a defect that was put in on purpose: what it asks of the
 * store and what it hears of it is spoilt.
 */
public final class PlantedAgent {
  private static final int PART = 3;
  private static final int FEATURES = 5;
  private static final int APPLY = 7;
  private static final int FIGURES = 9;
  private static final String STEP = "/release/step/";

  private PlantedAgent() {}

  /** What is wrong with it. */
  public enum Defect implements UnaryOperator<ConfigAdmin.Store> {
    /** Whoever drives sees no permit of anybody, and takes places without counting them. */
    IGNORES_NUMBERS {
      @Override
      StoreResponse ask(ConfigAdmin.Store store, StoreRequest call) {
        return read(
            store.ask(call), pairs -> pairs.filter(p -> !p.key().contains("/release/permit/")));
      }
    },
    /** Acts on its part as soon as there is a release, whatever stands there. */
    ACTS_WITHOUT_PERMIT {
      @Override
      StoreResponse ask(ConfigAdmin.Store store, StoreRequest call) {
        if (call instanceof StoreRequest.Swap swap
            && swap.changes().stream()
                .anyMatch(
                    c ->
                        c instanceof StoreRequest.Change.Put put
                            && put.key().contains(STEP)
                            && put.value().contains("\"begun\""))) {
          return new StoreResponse.Given(true, "", 0, List.of(), 0, 0);
        }
        return read(
            store.ask(call),
            pairs ->
                pairs.flatMap(
                    p ->
                        p.key().endsWith("/agent/" + part)
                            ? Stream.of(p, granted(p.key()))
                            : Stream.of(p)));
      }
    },
    /** Whatever the others answer, a part stands its check. */
    COMPARES_WITH_NOTHING {
      @Override
      StoreResponse ask(ConfigAdmin.Store store, StoreRequest call) {
        return read(
            store.ask(call),
            pairs ->
                pairs.map(
                    p ->
                        new StoreResponse.Pair(
                            p.key(),
                            p.value().replaceAll("\":\"[0-9]+\\.[0-9]+\"", "\":\"1000.0\""),
                            p.made(),
                            p.changed(),
                            p.lease())));
      }
    };

    private static String part;

    /** A step that nobody has granted. */
    private static StoreResponse.Pair granted(String agentsKey) {
      return new StoreResponse.Pair(
          agentsKey.replace("/agent/", "/step/"),
          "{\"id\":\""
              + part
              + "\",\"permit\":9,\"phase\":\"granted\",\"variant\":\"new\",\"agent\":\"\","
              + "\"why\":\"\","
              + "\"started\":0,\"took_ns\":0}",
          0,
          0,
          0);
    }

    abstract StoreResponse ask(ConfigAdmin.Store store, StoreRequest call);

    @Override
    public ConfigAdmin.Store apply(ConfigAdmin.Store store) {
      return call -> ask(store, call);
    }

    private static StoreResponse read(
        StoreResponse answer, UnaryOperator<Stream<StoreResponse.Pair>> spoilt) {
      return !(answer instanceof StoreResponse.Given g)
          ? answer
          : new StoreResponse.Given(
              g.held(),
              g.cluster(),
              g.revision(),
              spoilt.apply(g.pairs().stream()).toList(),
              g.lease(),
              g.seconds());
    }
  }

  /** The defect, then the words of the command. */
  public static void main(String[] args) {
    Defect defect = Defect.valueOf(args[0]);
    Defect.part = args[PART];
    System.exit(
        new AgentRunner(
                args[FEATURES],
                args[PART],
                args[APPLY],
                args.length > FIGURES
                    ? new InstanceMetricsReader(args[PART], false, List.of(args[FIGURES]))
                    : null,
                defect)
            .run());
  }
}
