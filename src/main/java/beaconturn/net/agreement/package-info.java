/**
 * The agreement's sockets and files: the coordination store over etcd's published HTTP/JSON
 * gateway, what is kept for a restart, and the thread that drives {@link
 * beaconturn.agreement.AgreementMember}. Loaded only where the operators' file has an {@code
 * [agreement]} section; the rest of a router knows it as {@link beaconturn.net.FleetConfigSource}.
 */
package beaconturn.net.agreement;
