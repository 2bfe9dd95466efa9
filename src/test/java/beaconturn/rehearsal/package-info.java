/** Tests of rehearsals. */
package beaconturn.rehearsal;
