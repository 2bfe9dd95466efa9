package beaconturn.cli;

import beaconturn.core.Lifecycle;
import beaconturn.net.ConfigException;
import beaconturn.net.RouterServer;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;

/** Runs one real router until it is told to stop. */
@Parameters(commandNames = "serve", commandDescription = "run one router on sockets")
final class ServeCommand implements Command {
    @ParametersDelegate
    private final ConfigFile config = new ConfigFile();

    @Override
    public int execute() {
        Logs.start();
        Lifecycle lifecycle = new Lifecycle();
        try {
            RouterServer server = new RouterServer(config.read(), config::readAnew, lifecycle);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(server), "drain"));
            HangUpSignal.handle(server::reload);
            server.start();
            lifecycle.await(Lifecycle.Phase.STOPPED);
            return 0;
        } catch (ConfigException | IOException e) {
            System.err.println("serve: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private static void stop(RouterServer server) {
        try {
            server.drain();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            Logs.finish();
            // Ends the JVM here: after a signal it would report one, though the stop went as planned.
            Runtime.getRuntime().halt(0);
        }
    }
}
