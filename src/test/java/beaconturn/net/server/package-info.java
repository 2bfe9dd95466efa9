/** Tests of the connections to cache servers, over real sockets. */
package beaconturn.net.server;
