package beaconturn.cli;

import beaconturn.agreement.Timing;
import beaconturn.net.Agreed;
import beaconturn.net.ConfigException;
import beaconturn.net.RouterConfig;
import beaconturn.net.agreement.AgreementConfig;
import beaconturn.net.agreement.AgreementSubsystem;
import beaconturn.toml.Section;
import beaconturn.toml.TomlException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The operators' own file, which says what is on beside the ordinary router: a section for each part, and
 * what has none is off. Nothing of it is loaded where no file is named.
 */
final class FeaturesFile {
    private static final long MILLI = 1_000_000;
    private static final long SECOND = 1000 * MILLI;
    private static final long APPLY = 500 * MILLI;
    private static final int MOST_PORT = 65_535;

    private FeaturesFile() {
    }

    /** The part of a router that the file turns on, or null. */
    static Agreed agreed(String file, RouterConfig router) throws ConfigException {
        AgreementConfig config = read(file);
        return config == null ? null : new AgreementSubsystem(config, router);
    }

    /** The {@code [agreement]} section, for orders that can do nothing without it. */
    static AgreementConfig required(String file) throws ConfigException {
        AgreementConfig config = read(file);
        if (config == null) {
            throw new ConfigException(file + ": there is no [agreement] section");
        }
        return config;
    }

    /** The {@code [agreement]} section, or null where there is none. */
    static AgreementConfig read(String file) throws ConfigException {
        return OperatorsFile.read(file,
            all -> all.has("agreement") ? agreement(all.table("agreement")) : null);
    }

    private static AgreementConfig agreement(Section s) throws TomlException {
        List<InetSocketAddress> endpoints = new ArrayList<>();
        for (String text : s.words("endpoints", List.of())) {
            if (!text.matches("[0-9.]+:[0-9]{1,5}")
                    || Integer.parseInt(text.substring(text.indexOf(':') + 1)) > MOST_PORT) {
                throw s.wrong("endpoints", "'" + text + "' is no address and port, such as 127.0.0.1:2379");
            }
            endpoints.add(new InetSocketAddress(text.substring(0, text.indexOf(':')),
                Integer.parseInt(text.substring(text.indexOf(':') + 1))));
        }
        if (endpoints.isEmpty()) {
            throw s.wrong("endpoints", "none is given, at least one member of the store is needed");
        }
        String fleet = s.word("fleet", "/beaconturn");
        if (!fleet.matches("(/[A-Za-z0-9._-]+)+")) {
            throw s.wrong("fleet", "'" + fleet + "' is no prefix such as /beaconturn/rain");
        }
        Timing timing = new Timing(s.time("lease", 6 * SECOND, SECOND), s.number("drift", 0.01, 0, 0.2),
            APPLY);
        String folder = s.word("folder", "");
        if (!folder.isEmpty() && !Files.isDirectory(Path.of(folder))) {
            throw s.wrong("folder", "'" + folder + "' is no folder");
        }
        return new AgreementConfig(List.copyOf(endpoints), fleet, timing,
            folder.isEmpty() ? null : Path.of(folder));
    }
}
