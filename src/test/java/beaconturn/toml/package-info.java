/** Tests. */
package beaconturn.toml;
