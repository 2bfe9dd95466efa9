/** Tests of the stand-ins on loopback sockets. */
package beaconturn.standin.net;
