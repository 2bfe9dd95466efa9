/**
 * One router on real sockets. {@link beaconturn.net.RouterServer} starts, reloads and stops it;
 * {@link beaconturn.net.RouterAssembly} is the list of its parts and what each is built from;
 * {@link beaconturn.net.PlannedStop} is the graceful shutdown, {@link
 * beaconturn.net.ProcessHandover} the upgrade beside another process, and {@link
 * beaconturn.net.FleetConfigApplier} brings into force what routers agree on. The sides of a router
 * are in the packages below and meet only here: {@code client}, {@code server}, {@code discovery}
 * and {@code control}. Each has threads of its own; what they have to say to each other goes over
 * the mailbox of the routing thread.
 */
package beaconturn.net;
