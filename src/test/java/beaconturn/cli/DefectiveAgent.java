package beaconturn.cli;

import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

/**
 * The agent of a part, a process, with a defect that was put in on purpose: what it asks of the
 * store and what it hears of it is spoilt.
 */
public final class DefectiveAgent {
  private static final int PART = 3;
  private static final int FEATURES = 5;
  private static final int APPLY = 7;
  private static final int FIGURES = 9;
  private static final String STEP = "/release/step/";

  private DefectiveAgent() {}

  /** What is wrong with it. */
  public enum Defect implements UnaryOperator<CoordinationStore> {
    /** Whoever drives sees no permit of anybody, and takes places without counting them. */
    IGNORES_PERMITS {
      @Override
      StoreResponse ask(CoordinationStore store, StoreRequest call) {
        return read(
            store.ask(call), pairs -> pairs.filter(p -> !p.key().contains("/release/permit/")));
      }
    },
    /** Acts on its part as soon as there is a release, whatever stands there. */
    ACTS_WITHOUT_PERMIT {
      @Override
      StoreResponse ask(CoordinationStore store, StoreRequest call) {
        if (call instanceof StoreRequest.Transaction swap
            && swap.changes().stream()
                .anyMatch(
                    c ->
                        c instanceof StoreRequest.Change.Put put
                            && put.key().contains(STEP)
                            && put.value().contains("\"begun\""))) {
          return new StoreResponse.Success(true, "", 0, List.of(), 0, 0);
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
    IGNORES_COMPARISON {
      @Override
      StoreResponse ask(CoordinationStore store, StoreRequest call) {
        return read(
            store.ask(call),
            pairs ->
                pairs.map(
                    p ->
                        new StoreResponse.Entry(
                            p.key(),
                            p.value().replaceAll("\":\"[0-9]+\\.[0-9]+\"", "\":\"1000.0\""),
                            p.createRevision(),
                            p.modRevision(),
                            p.leaseId())));
      }
    };

    private static String part;

    /** A step that nobody has granted. */
    private static StoreResponse.Entry granted(String agentsKey) {
      return new StoreResponse.Entry(
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

    abstract StoreResponse ask(CoordinationStore store, StoreRequest call);

    @Override
    public CoordinationStore apply(CoordinationStore store) {
      return call -> ask(store, call);
    }

    private static StoreResponse read(
        StoreResponse answer, UnaryOperator<Stream<StoreResponse.Entry>> spoilt) {
      return !(answer instanceof StoreResponse.Success g)
          ? answer
          : new StoreResponse.Success(
              g.conditionsHeld(),
              g.clusterId(),
              g.storeRevision(),
              spoilt.apply(g.entries().stream()).toList(),
              g.leaseId(),
              g.leaseTtlSeconds());
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
