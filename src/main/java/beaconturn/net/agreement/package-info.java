/**
 * The sockets and files of the agreement and the zones: the coordination store over etcd's
 * published HTTP/JSON gateway, what is persisted for a restart, and the threads that drive {@link
 * beaconturn.agreement.AgreementMember} and {@link beaconturn.zones.ZoneMember}. Loaded only where
 * the operators' file has an {@code [agreement]} section; the rest of a router knows it as {@link
 * beaconturn.net.FleetConfigSource} and {@link beaconturn.net.ZoneWeightsSource}.
 */
package beaconturn.net.agreement;
