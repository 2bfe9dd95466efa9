/**
 * Sockets, threads, bounded pipes and limits shared by all connections of a router. Depends on no
 * other package of the adapters.
 */
package beaconturn.net.io;
