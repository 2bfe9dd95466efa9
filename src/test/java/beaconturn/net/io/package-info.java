/** Tests. */
package beaconturn.net.io;
