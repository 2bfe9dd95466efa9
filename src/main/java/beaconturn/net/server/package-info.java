/**
 * The cache servers' side of a router. {@link beaconturn.net.server.CacheServerPool} follows the
 * endpoint list and has one {@link beaconturn.net.server.CacheServer} actor for each server; all
 * actors share the {@link beaconturn.net.server.CacheServerThread}. Each attempt that is out
 * occupies one thread of the {@link beaconturn.net.server.WorkerPool}, with a small stack, which
 * runs a {@link beaconturn.net.server.CacheConnection} with blocking reads and writes; {@link
 * beaconturn.net.server.CacheResponseReader} maps what comes back.
 */
package beaconturn.net.server;
