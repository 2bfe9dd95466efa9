/**
 * Parts of a rehearsed fleet beside routers, cache servers and clients: fault-injecting proxies for
 * the links between them, the coordination store's stand-in and the rollout agents as processes,
 * and the hook by which agents restart instances. The scenario decides when each fault happens.
 */
package beaconturn.rehearsal.fleet;
