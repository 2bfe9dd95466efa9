/**
 * The host of the routing policy, without any I/O: the routing thread and its mailbox, the engine
 * that turns messages into the policy's events and carries out its actions, the table of requests,
 * timers, settings. {@link beaconturn.core.RoutingThread} is the one thread that decides; types say
 * where others may call.
 */
package beaconturn.core;
