package beaconturn.cli;

import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

/**
 * Runs a rollout agent as a process with a deliberate defect: its requests to the store and the
 * replies are altered.
 */
public final class DefectiveAgent {
  private static final int INSTANCE_ID_INDEX = 3;
  private static final int FEATURES_FILE_INDEX = 5;
  private static final int APPLY_COMMAND_INDEX = 7;
  private static final int ADMIN_ADDRESS_INDEX = 9;
  private static final String STEP_KEY_PART = "/release/step/";

  private DefectiveAgent() {}

  /** The defect of an agent. */
  public enum Defect implements UnaryOperator<CoordinationStore> {
    /** The driver sees no permits, so that it grants steps beyond the disruption budget. */
    IGNORES_PERMITS {
      @Override
      StoreResponse ask(CoordinationStore store, StoreRequest request) {
        return alterEntries(
            store.ask(request),
            entries -> entries.filter(entry -> !entry.key().contains("/release/permit/")));
      }
    },
    /** Acts on its instance as soon as a release exists, although no step is granted. */
    ACTS_WITHOUT_PERMIT {
      @Override
      StoreResponse ask(CoordinationStore store, StoreRequest request) {
        if (request instanceof StoreRequest.Transaction transaction
            && transaction.changes().stream()
                .anyMatch(
                    change ->
                        change instanceof StoreRequest.Change.Put put
                            && put.key().contains(STEP_KEY_PART)
                            && put.value().contains("\"begun\""))) {
          return new StoreResponse.Success(true, "", 0, List.of(), 0, 0);
        }
        return alterEntries(
            store.ask(request),
            entries ->
                entries.flatMap(
                    entry ->
                        entry.key().endsWith("/agent/" + instanceId)
                            ? Stream.of(entry, grantedStep(entry.key()))
                            : Stream.of(entry)));
      }
    },
    /** The metrics of the other instances are replaced, so that each regression check passes. */
    IGNORES_COMPARISON {
      @Override
      StoreResponse ask(CoordinationStore store, StoreRequest request) {
        return alterEntries(
            store.ask(request),
            entries ->
                entries.map(
                    entry ->
                        new StoreResponse.Entry(
                            entry.key(),
                            entry.value().replaceAll("\":\"[0-9]+\\.[0-9]+\"", "\":\"1000.0\""),
                            entry.createRevision(),
                            entry.modRevision(),
                            entry.leaseId())));
      }
    };

    private static String instanceId;

    /** A granted step that is not in the store. */
    private static StoreResponse.Entry grantedStep(String agentKey) {
      return new StoreResponse.Entry(
          agentKey.replace("/agent/", "/step/"),
          "{\"id\":\""
              + instanceId
              + "\",\"permit\":9,\"phase\":\"granted\",\"variant\":\"new\",\"agent\":\"\","
              + "\"why\":\"\","
              + "\"started\":0,\"took_ns\":0}",
          0,
          0,
          0);
    }

    abstract StoreResponse ask(CoordinationStore store, StoreRequest request);

    @Override
    public CoordinationStore apply(CoordinationStore store) {
      return request -> ask(store, request);
    }

    private static StoreResponse alterEntries(
        StoreResponse reply, UnaryOperator<Stream<StoreResponse.Entry>> alteration) {
      return !(reply instanceof StoreResponse.Success success)
          ? reply
          : new StoreResponse.Success(
              success.conditionsHeld(),
              success.clusterId(),
              success.storeRevision(),
              alteration.apply(success.entries().stream()).toList(),
              success.leaseId(),
              success.leaseTtlSeconds());
    }
  }

  /** Takes the name of the defect, followed by the arguments of {@code release agent}. */
  public static void main(String[] args) {
    Defect defect = Defect.valueOf(args[0]);
    Defect.instanceId = args[INSTANCE_ID_INDEX];
    System.exit(
        new AgentRunner(
                args[FEATURES_FILE_INDEX],
                args[INSTANCE_ID_INDEX],
                args[APPLY_COMMAND_INDEX],
                args.length > ADMIN_ADDRESS_INDEX
                    ? new InstanceMetricsReader(
                        args[INSTANCE_ID_INDEX], false, List.of(args[ADMIN_ADDRESS_INDEX]))
                    : null,
                defect)
            .run());
  }
}
