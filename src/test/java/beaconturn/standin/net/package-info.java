/** Tests. */
package beaconturn.standin.net;
