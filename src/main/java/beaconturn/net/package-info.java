/**
 * One router on real sockets. {@link beaconturn.net.RouterServer} starts, reloads and stops it;
 * {@link beaconturn.net.RouterAssembly} builds its components; {@link
 * beaconturn.net.GracefulShutdown} drains it, {@link beaconturn.net.ProcessHandover} coordinates an
 * upgrade with another process, and {@link beaconturn.net.FleetConfigApplier} applies what routers
 * agree on. The packages {@code client}, {@code server}, {@code discovery} and {@code control}
 * depend on each other only through this one. Each has its own threads; they communicate through
 * the mailbox of the routing thread.
 */
package beaconturn.net;
