/**
 * Every routing decision, without input or output: a {@link beaconturn.decision.RoutingPolicy} gets
 * events, with the time, and answers with {@link beaconturn.decision.RoutingActions}.
 *
 * <p>{@link beaconturn.decision.RingRouter} hands events on; each rule is a class of its own, named
 * after it. Which server: {@code ServerSelector} with {@code HashRing}, {@code LoadBounds}, {@code
 * KeySpread}, {@code OutlierDetector}, {@code SlowStart} and {@code ConnectionFailures}. Whether a
 * request is admitted: {@code AdmissionController} with {@code ConcurrencyLimit}, {@code
 * QuotaTracker} and {@code KeyFailures}. Whether it is sent again: {@code RetryPolicy}, {@code
 * RetryBudget}, {@code HedgingPolicy}. Whether a send is legal at all: {@code AttemptGuard}. How a
 * request is given up: {@code GiveUpPolicy}. The origin: {@code OriginFetches}. The endpoint list:
 * {@code ServerRegistry}, {@code EndpointWatch}.
 *
 * <p>Where a comment says that a method draws, it takes numbers from the one seeded random source;
 * the order of draws is part of the behaviour, as the same events have to give the same actions.
 */
package beaconturn.decision;
