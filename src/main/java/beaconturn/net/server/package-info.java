/**
 * The router's connections to cache servers. {@link beaconturn.net.server.CacheServerPool} tracks
 * the endpoint list and keeps one {@link beaconturn.net.server.CacheServer} actor per server; all
 * actors share the {@link beaconturn.net.server.CacheServerThread}. Each attempt in flight occupies
 * one small-stack thread of the {@link beaconturn.net.server.WorkerPool}, which runs a {@link
 * beaconturn.net.server.CacheConnection} with blocking reads and writes; {@link
 * beaconturn.net.server.CacheResponseReader} maps responses to results.
 */
package beaconturn.net.server;
