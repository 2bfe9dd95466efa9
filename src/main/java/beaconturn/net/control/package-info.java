/**
 * The admin address, with one command and one response per connection. It is served on its own
 * thread and never blocks the routing thread. The rest of the router uses {@link
 * beaconturn.net.control.AdminServer}, {@link beaconturn.net.control.AdminOperations} and {@link
 * beaconturn.net.control.ServerOverrideFile}. No class of the package is loaded if no admin address
 * is configured.
 */
package beaconturn.net.control;
