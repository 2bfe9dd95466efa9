package beaconturn.decision;

/** One line of the server list; {@code bootTime} 0 means that it started long ago. */
public record Endpoint(
    long serverId,
    int zone,
    int kind,
    int cell,
    EndpointHealth health,
    double rating,
    long bootTimeNanos) {}
