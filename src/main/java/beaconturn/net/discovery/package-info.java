/**
 * The client of discovery: a watch on the endpoint list over HTTP/1.1, its backoff, and the parser
 * of the list. It has threads of its own and hands each list to the routing thread.
 */
package beaconturn.net.discovery;
