/**
 * Blocking sockets round the core: clients, cache servers and discovery, each peer with its own
 * threads.
 */
package beaconturn.net;
