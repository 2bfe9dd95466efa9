/**
 * Operators' files in TOML, read with checks: every wrong value is one line that names the file,
 * the line and the key, and says what is allowed. No I/O.
 */
package beaconturn.toml;
