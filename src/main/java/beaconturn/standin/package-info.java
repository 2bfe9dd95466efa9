/**
 * The model of what a router meets: cache servers, the origin behind them and discovery, as state
 * machines with no I/O on an {@link beaconturn.standin.EventScheduler} that somebody else drives.
 * One thread drives one model. All chance comes from seeded sources, so that the same events give
 * the same answers. Fronts that speak a protocol stand in {@code standin.net}; whoever wants an
 * account of what happened gives a {@link beaconturn.standin.HistoryRecorder}.
 */
package beaconturn.standin;
