/** Tests of the agreement's sockets and files, before the store's stand-in on loopback. */
package beaconturn.net.agreement;
