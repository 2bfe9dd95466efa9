/** Tests of the decision package. */
package beaconturn.decision;
