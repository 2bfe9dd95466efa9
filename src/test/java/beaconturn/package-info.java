/** Tests that concern the program as a whole. */
package beaconturn;
