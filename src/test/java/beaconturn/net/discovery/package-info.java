/** Tests of the discovery client, over real sockets. */
package beaconturn.net.discovery;
