/** Tests of the readers, byte by byte, and of their limits. */
package beaconturn.protocol;
