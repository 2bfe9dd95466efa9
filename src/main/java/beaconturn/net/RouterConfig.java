package beaconturn.net;

import beaconturn.core.EndpointUpdate;
import beaconturn.core.RouterSettings;
import beaconturn.protocol.Json;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * The configuration of one router on real sockets. Immutable.
 *
 * @param name of the router, unique among those that agree
 * @param listenAddress where clients connect, unless the listening socket is inherited
 * @param discoveryAddress discovery's address
 * @param seed of all random draws
 * @param sockets how many descriptors this router may have, over all its processes
 * @param memoryMb the memory that this process may take
 * @param initialEndpoints the endpoint list to begin with; it may be old
 * @param settings of the routing policy and the wire
 * @param environment what the process's surroundings add
 * @param document the file's JSON as it was read
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
  /** Where a configuration can be read again and again. */
  public interface Source {
    /**
     * The configuration as it is now.
     *
     * @throws ConfigException if it is none that a router could start with
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
   * The file of that kind which the next process of this router should find; null if no folder
   * outlives the process.
   */
  public Path stateFile(String kind) {
    if (environment.stateFolder() == null) {
      return null;
    }
    // Names come from operators, and must not lead out of the folder.
    String safeName = name.replaceAll("[^A-Za-z0-9-]", "_");
    return environment.stateFolder().resolve("beaconturn-" + safeName + "." + kind);
  }

  /**
   * The first key that the earlier configuration had and this one lacks or has with another type,
   * as a path; null if there is none. The endpoint list does not count.
   */
  public String lacks(RouterConfig earlier) {
    return ConfigShape.firstMissing(earlier.document, document);
  }
}
