/** Tests of the core, without I/O and with a clock that the test moves. */
package beaconturn.core;
