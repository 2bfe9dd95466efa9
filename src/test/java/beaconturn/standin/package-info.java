/** Tests of the model on a clock that the test turns. */
package beaconturn.standin;
