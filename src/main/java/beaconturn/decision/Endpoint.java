package beaconturn.decision;

/**
 * One entry of the endpoint list.
 *
 * @param kind which of the deployment's kinds of servers it is
 * @param cell the group of servers within which repeats may be dropped
 * @param rating its size against others
 * @param bootTimeNanos when it started, by the list; 0 for long ago
 */
public record Endpoint(
    long serverId,
    int zone,
    int kind,
    int cell,
    EndpointHealth health,
    double rating,
    long bootTimeNanos) {}
