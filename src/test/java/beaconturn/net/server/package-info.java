/** Tests. */
package beaconturn.net.server;
