/**
 * Client connections of a router: the listening socket, the connections, RESP2 commands in and
 * responses out. One poller thread reads from all connections; each response is written by the
 * thread that completes the next one in order. No routing decisions are made here.
 */
package beaconturn.net.client;
