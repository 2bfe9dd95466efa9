/** Calls on the second address, and what is kept of them. */
package beaconturn.net.control;
