/**
 * The clients' side of a router: the listening socket, connections, RESP2 commands in and responses
 * out. One poller thread reads all connections; responses are written by whichever thread has the
 * next one in order. Nothing here decides where a request goes.
 */
package beaconturn.net.client;
