/** Tests. */
package beaconturn.net.discovery;
