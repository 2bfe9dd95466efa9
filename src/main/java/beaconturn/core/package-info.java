/**
 * The routing engine, which hosts the routing policy and does no I/O: the routing thread and its
 * mailbox, the mapping of messages to policy events and of policy actions to effects, the table of
 * open requests, timers and settings. All routing decisions are made on {@link
 * beaconturn.core.RoutingThread}; types that other threads may call say so.
 */
package beaconturn.core;
