package beaconturn.core;

/**
 * What the parts of a {@link RoutingEngine} share. Routing thread only.
 *
 * @param clock the router's clock
 * @param servers the cache servers
 * @param discovery where the endpoint list comes from
 * @param requests the requests that are not over yet
 * @param timers what is due when
 * @param dispatcher delivers events to policies
 * @param eventLog the log of single requests
 * @param metrics where requests and attempts are counted
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
