package beaconturn.net.agreement;

import beaconturn.agreement.AgreementTiming;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * The {@code [agreement]} section of the operators' file.
 *
 * @param endpoints addresses of the store's members
 * @param fleet prefix of all keys, shared by the routers of one fleet
 * @param timing lease duration and other timing parameters
 * @param folder folder in which versions are persisted for a restart, or null
 */
public record AgreementConfig(
    List<InetSocketAddress> endpoints, String fleet, AgreementTiming timing, Path folder) {}
