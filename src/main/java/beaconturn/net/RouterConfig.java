package beaconturn.net;

import beaconturn.core.EndpointUpdate;
import beaconturn.core.RouterSettings;
import beaconturn.protocol.Json;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * The configuration of one router. Immutable.
 *
 * @param name name of the router, unique among routers that agree
 * @param listenAddress address for clients, unless the listening socket is inherited
 * @param discoveryAddress address of discovery
 * @param seed seed of all random draws
 * @param sockets maximum number of descriptors of this router, over all its processes
 * @param memoryMb maximum memory of this process
 * @param initialEndpoints endpoint list to start with; may be outdated
 * @param settings settings of the routing policy and the wire protocol
 * @param environment configuration from the environment of the process
 * @param document the JSON document that was read
 */
public record RouterConfig(
    String name,
    InetSocketAddress listenAddress,
    InetSocketAddress discoveryAddress,
    long seed,
    int sockets,
    int memoryMb,
    EndpointUpdate initialEndpoints,
    RouterSettings settings,
    ProcessEnvironment environment,
    Json document) {
  /** A source that the configuration can be read from repeatedly. */
  public interface Source {
    /**
     * Reads the current configuration.
     *
     * @throws ConfigException if a router cannot start with it
     */
    RouterConfig read() throws ConfigException;
  }

  /** The admin address, or null if there is none. */
  public InetSocketAddress adminAddress() {
    return environment.adminAddress();
  }

  /** Whether another process of this router may serve on the same listening socket. */
  public boolean sharesListener() {
    return environment.sharesListener();
  }

  /**
   * The path of a state file that the next process of this router reads, or null if there is no
   * state folder.
   */
  public Path stateFile(String kind) {
    if (environment.stateFolder() == null) {
      return null;
    }
    // Names come from operators and must not lead out of the folder.
    String safeName = name.replaceAll("[^A-Za-z0-9-]", "_");
    return environment.stateFolder().resolve("beaconturn-" + safeName + "." + kind);
  }

  /**
   * Returns the path of the first key that the earlier configuration had and that is missing here
   * or has another type, or null if there is none. The endpoint list is not compared.
   */
  public String firstMissingKey(RouterConfig earlier) {
    return ConfigShape.firstMissing(earlier.document, document);
  }
}
