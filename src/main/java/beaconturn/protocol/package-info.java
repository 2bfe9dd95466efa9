/** Readers and writers of RESP2, HTTP/1.1 and JSON over slices of a buffer, without I/O. */
package beaconturn.protocol;
