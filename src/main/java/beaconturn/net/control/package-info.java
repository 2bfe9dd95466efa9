/**
 * The admin address: one command to a connection, one answer. It stands beside the router's work
 * and never waits for it; the rest of the router knows it by {@link
 * beaconturn.net.control.AdminServer}, {@link beaconturn.net.control.AdminOperations} and the
 * override file alone, and nothing of it is loaded where no admin address is set.
 */
package beaconturn.net.control;
