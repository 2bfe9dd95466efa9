/** Tests of the stand-in models on a manual clock. */
package beaconturn.standin;
