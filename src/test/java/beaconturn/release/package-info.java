/** Tests of releases: single decisions, stored formats, and a model check of concurrent steps. */
package beaconturn.release;
