/**
 * Routing decisions, free of I/O: a {@link beaconturn.decision.RoutingPolicy} receives timestamped
 * events and responds with {@link beaconturn.decision.RoutingActions}.
 *
 * <p>{@link beaconturn.decision.RingRouter} dispatches events to one class per concern. Server
 * selection: {@code ServerSelector} with {@code HashRing}, {@code LoadBounds}, {@code KeySpread},
 * {@code OutlierDetector}, {@code SlowStart} and {@code ConnectionFailures}. Admission: {@code
 * AdmissionController} with {@code ConcurrencyLimit}, {@code QuotaTracker} and {@code KeyFailures}.
 * Retries and hedging: {@code RetryPolicy}, {@code RetryBudget}, {@code HedgingPolicy}. Safety of
 * each attempt: {@code AttemptGuard}. Rejections and failures: {@code GiveUpPolicy}. Origin: {@code
 * OriginFetches}. Endpoint list: {@code ServerRegistry}, {@code EndpointWatch}.
 *
 * <p>Methods documented to draw from the random source consume numbers of one seeded generator. The
 * order of draws is part of the behavior, because the same events have to produce the same actions.
 */
package beaconturn.decision;
