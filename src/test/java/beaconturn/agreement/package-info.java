/**
 * Tests of the agreement in virtual time: members before the model of a store, with faults between
 * them.
 */
package beaconturn.agreement;
