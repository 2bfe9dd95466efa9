/** Tests. */
package beaconturn.net.client;
