/** Tests of the TOML reader. */
package beaconturn.toml;
