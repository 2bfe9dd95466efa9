package beaconturn.decision;

/**
 * One entry of the endpoint list.
 *
 * @param kind index of the server kind
 * @param cell group of servers that may deduplicate repeats together
 * @param rating relative size of the server
 * @param bootTimeNanos start time according to the list; 0 if it started long ago
 */
public record Endpoint(
    long serverId,
    int zone,
    int kind,
    int cell,
    EndpointHealth health,
    double rating,
    long bootTimeNanos) {}
