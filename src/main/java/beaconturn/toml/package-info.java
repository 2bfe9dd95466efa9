/**
 * Reads and validates operators' TOML files. Errors are one line with the file, the line number,
 * the key and the permitted values. No I/O.
 */
package beaconturn.toml;
