/**
 * Tests of the agreement in virtual time: members access a store model through simulated faults.
 */
package beaconturn.agreement;
