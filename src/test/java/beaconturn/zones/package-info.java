/** Tests of places: the deciders before a store, in virtual time. */
package beaconturn.zones;
