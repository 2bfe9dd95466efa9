/** Tests of the routing engine, without I/O and with a clock that the test controls. */
package beaconturn.core;
