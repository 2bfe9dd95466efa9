/** Tests of a router on real sockets, against peers on ephemeral loopback ports. */
package beaconturn.net;
