package beaconturn.net.agreement;

import beaconturn.agreement.AgreementTiming;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * The {@code [agreement]} section of the operators' file.
 *
 * @param endpoints addresses of the store's members
 * @param fleet the prefix of all keys; routers of one fleet share it
 * @param timing the times, and what follows from them
 * @param folder where versions are persisted for a restart, or null
 */
public record AgreementConfig(
    List<InetSocketAddress> endpoints, String fleet, AgreementTiming timing, Path folder) {}
