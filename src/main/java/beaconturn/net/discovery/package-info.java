/**
 * The discovery client: watches and fetches the endpoint list over HTTP/1.1, parses it and posts
 * updates to the routing thread. Runs on its own threads.
 */
package beaconturn.net.discovery;
