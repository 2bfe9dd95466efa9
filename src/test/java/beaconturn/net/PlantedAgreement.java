package beaconturn.net;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementKeys;
import beaconturn.agreement.AgreementTiming;
import beaconturn.agreement.ConfigCodec;
import beaconturn.agreement.ConfigVersion;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import beaconturn.core.CacheServerClients;
import beaconturn.decision.ServerStatus;
import beaconturn.net.agreement.AgreementConfig;
import beaconturn.net.agreement.AgreementSubsystem;
import beaconturn.net.agreement.StoreClient;
import beaconturn.net.io.Threads;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router's part in the agreement with a defect, put in on purpose: the account must name it. */
public final class PlantedAgreement implements FleetConfigSource {
  private static final long SECOND = 1_000_000_000;
  private final Defect defect;
  private final AgreementSubsystem sound;
  private final StoreClient store;
  private DueConfig held;
  private volatile DueConfig early;
  private volatile boolean left;

  /** What is wrong with it. */
  public enum Defect {
    /** It goes on with the version that it has, whatever becomes of its lease. */
    IGNORES_LEASE,
    /** It takes a version into force as soon as it is proposed. */
    RUNS_AHEAD,
    /** The same, seen by what it repeats. */
    REPEATS,
    /** It claims to have whatever list a version asks for, and takes any. */
    CLAIMS_LISTS
  }

  private PlantedAgreement(Defect defect, AgreementSubsystem sound, StoreClient store) {
    this.defect = defect;
    this.sound = sound;
    this.store = store;
  }

  /** The part of a router as its operators' file has it, with the defect. */
  public static PlantedAgreement of(Defect defect, Path features, RouterConfig router)
      throws IOException {
    Matcher port = Pattern.compile("127\\.0\\.0\\.1:([0-9]+)").matcher(Files.readString(features));
    if (!port.find()) {
      throw new IOException("no endpoint in " + features);
    }
    List<InetSocketAddress> at =
        List.of(new InetSocketAddress("127.0.0.1", Integer.parseInt(port.group(1))));
    AgreementSubsystem sound =
        new AgreementSubsystem(
            new AgreementConfig(
                at, "/rehearsal", new AgreementTiming(SECOND, 0.01, SECOND / 2), null),
            router);
    return new PlantedAgreement(defect, sound, new StoreClient(at, SECOND));
  }

  @Override
  public void run() {
    if (defect == Defect.RUNS_AHEAD) {
      Threads.start("runs-ahead", this::ahead);
    }
    sound.run();
  }

  private void ahead() {
    AgreementKeys keys = new AgreementKeys("/rehearsal");
    while (!left) {
      if (store.ask(new StoreRequest.Read(keys.commonPrefix()))
          instanceof StoreResponse.Success given) {
        given.entries().stream()
            .filter(p -> p.key().endsWith("/next"))
            .forEach(p -> take(p.value()));
      }
    }
  }

  private void take(String text) {
    try {
      ConfigVersion next = ConfigCodec.decodeVersion(text);
      DueConfig now = sound.dueConfig();
      if (early == null || !early.description().equals("early " + next.number())) {
        early =
            new DueConfig(
                now.settings(),
                next.content().excludedServers(),
                0,
                next.content(),
                "early " + next.number());
      }
    } catch (AgreementException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public DueConfig dueConfig() {
    DueConfig sounds = sound.dueConfig();
    if (defect == Defect.RUNS_AHEAD) {
      return early == null ? sounds : early;
    }
    if (defect == Defect.CLAIMS_LISTS) {
      return sounds;
    }
    // Once it has a version of its own, it holds on to that until it is told of another one in
    // force.
    if (held == null || sounds.description().matches("version [0-9]+")) {
      held = sounds;
    }
    return held;
  }

  @Override
  public void awaitFirstConfig() {
    sound.awaitFirstConfig();
  }

  @Override
  public void configApplied(DueConfig force) {
    sound.configApplied(force);
  }

  @Override
  public long oldestListVersion() {
    return 0;
  }

  @Override
  public void listReceived(long version) {
    sound.listReceived(defect == Defect.CLAIMS_LISTS ? Long.MAX_VALUE : version);
  }

  @Override
  public void serverStatuses(Map<CacheServerClients.ListedServer, ServerStatus> caches) {
    sound.serverStatuses(caches);
  }

  @Override
  public boolean mayWrite() {
    return true;
  }

  @Override
  public void leave() {
    left = true;
    sound.leave();
  }
}
