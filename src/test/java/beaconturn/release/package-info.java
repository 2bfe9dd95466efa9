/** Tests of releases: the deciders one by one, and every order of their steps. */
package beaconturn.release;
