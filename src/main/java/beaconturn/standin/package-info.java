/**
 * Models of the systems around a router: cache servers, the origin behind them and discovery, as
 * state machines without I/O on an {@link beaconturn.standin.EventScheduler} that the caller
 * advances. One thread drives one fleet. All randomness comes from seeded sources, so that the same
 * events give the same results. Socket fronts are in {@code standin.net}; a {@link
 * beaconturn.standin.HistoryRecorder} receives what happens.
 */
package beaconturn.standin;
