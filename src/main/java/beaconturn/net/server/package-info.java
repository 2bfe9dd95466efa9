/**
 * The cache servers' side of a router: the pool of servers, their blocking connections and the
 * reader of their responses. The actors of all servers share one thread; each attempt that is out
 * occupies one worker thread with a small stack.
 */
package beaconturn.net.server;
