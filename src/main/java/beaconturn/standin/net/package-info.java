/**
 * Socket fronts round the model of {@code standin}: one thread drives a whole model, reads all its
 * connections on channels that never block, and speaks the published protocol (RESP2 with the load
 * report, the registry over HTTP/1.1). A front decides nothing; another protocol is another front
 * on the same model.
 */
package beaconturn.standin.net;
