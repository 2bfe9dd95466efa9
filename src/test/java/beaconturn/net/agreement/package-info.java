/** Tests of the agreement's sockets and files against the store's stand-in over loopback. */
package beaconturn.net.agreement;
