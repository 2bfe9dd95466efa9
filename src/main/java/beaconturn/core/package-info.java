/**
 * What runs the decision module without any I/O: phases, mailboxes, the request table, timers,
 * settings.
 */
package beaconturn.core;
