/**
 * I/O of the agreement and the zones: the client of the coordination store over etcd's HTTP/JSON
 * gateway, the persisted state, and the threads that drive {@link
 * beaconturn.agreement.AgreementMember} and {@link beaconturn.zones.ZoneMember}. It is loaded only
 * if the operators' file has an {@code [agreement]} section. The router uses it through {@link
 * beaconturn.net.FleetConfigSource} and {@link beaconturn.net.ZoneWeightsSource}.
 */
package beaconturn.net.agreement;
