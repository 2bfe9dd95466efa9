/** Tests. */
package beaconturn.rehearsal;
