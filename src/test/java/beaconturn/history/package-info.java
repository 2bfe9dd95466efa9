/** Tests. */
package beaconturn.history;
