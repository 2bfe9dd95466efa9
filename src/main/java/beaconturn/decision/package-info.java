/**
 * Where every routing decision is made, and the one interface through which it is asked. The
 * decisions are in one file: consistent hashing with bounded loads, and what it takes to stay sound
 * when caches, keys, the origin or the list fail; in the order of events, ordinary path, health,
 * cold starts, attempts and hedges, origin, admission, discovery. The others hold what is known of
 * one thing.
 */
package beaconturn.decision;
