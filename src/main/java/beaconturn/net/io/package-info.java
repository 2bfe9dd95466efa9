/**
 * What all connections of a router share: sockets, threads, bounded pipes and limits. It depends on
 * no other part of the adapters.
 */
package beaconturn.net.io;
