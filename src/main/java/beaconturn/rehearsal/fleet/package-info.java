/**
 * What a rehearsal of a whole fleet needs beside routers, caches and clients: links that can be
 * cut, slowed and held between any two parties, the coordination store's stand-in as a process of
 * its own, and the operators' commands as processes. It only carries out; what happens when is the
 * scenario's.
 */
package beaconturn.rehearsal.fleet;
