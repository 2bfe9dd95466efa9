/** Where every routing decision is made, and the one interface through which it is asked. */
package beaconturn.decision;
