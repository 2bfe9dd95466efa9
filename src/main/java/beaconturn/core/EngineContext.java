package beaconturn.core;

/**
 * The components that the parts of a {@link RoutingEngine} share. Confined to the routing thread.
 *
 * @param clock the router's clock
 * @param servers the cache servers
 * @param discovery the source of the endpoint list
 * @param requests the open requests
 * @param timers the pending timers
 * @param dispatcher delivers events to policies
 * @param eventLog logs rejected, failed and retried requests
 * @param metrics records requests and attempts
 */
record EngineContext(
    Clock clock,
    CacheServerClients servers,
    EndpointDiscovery discovery,
    RequestTable requests,
    TimerQueue timers,
    EventDispatcher dispatcher,
    RequestEventLog eventLog,
    AttemptMetrics metrics) {}
