/** Tests of the sockets against peers of their own on ephemeral loopback ports. */
package beaconturn.net;
