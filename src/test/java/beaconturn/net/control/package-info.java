/** Tests of the admin address and of persisted operator overrides. */
package beaconturn.net.control;
