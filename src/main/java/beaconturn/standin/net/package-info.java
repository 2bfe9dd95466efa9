/**
 * Socket fronts of the models in {@code standin}. One thread drives a whole fleet, serves all its
 * connections on non-blocking channels, and speaks the routers' protocols: RESP2 with load reports,
 * discovery and the store over HTTP/1.1. Fronts make no decisions; a further protocol needs only a
 * further front of the same model.
 */
package beaconturn.standin.net;
