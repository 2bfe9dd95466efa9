package beaconturn.net;

import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * What the surroundings of a process add to a router's configuration.
 *
 * @param adminAddress the admin address, or null if there is none
 * @param sharesListener whether the clients' listening socket comes as descriptor 0 and another
 *     process of this router may hold it too
 * @param stateFolder outlives the process, for what the next one should find; null if there is none
 */
public record ProcessEnvironment(
    InetSocketAddress adminAddress, boolean sharesListener, Path stateFolder) {
  /** No admin address, a socket of its own, no folder. */
  public static final ProcessEnvironment NONE = new ProcessEnvironment(null, false, null);
}
