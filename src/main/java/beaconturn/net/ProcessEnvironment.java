package beaconturn.net;

import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * Configuration that a process receives from its environment.
 *
 * @param adminAddress the admin address, or null if there is none
 * @param sharesListener whether the listening socket is inherited as descriptor 0 and another
 *     process of this router may hold it too
 * @param stateFolder folder that outlives the process, for state passed to the next one; null if
 *     there is none
 */
public record ProcessEnvironment(
    InetSocketAddress adminAddress, boolean sharesListener, Path stateFolder) {
  /** No admin address, an unshared listening socket and no state folder. */
  public static final ProcessEnvironment NONE = new ProcessEnvironment(null, false, null);
}
