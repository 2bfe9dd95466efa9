/** What concerns the whole program. */
package beaconturn;
