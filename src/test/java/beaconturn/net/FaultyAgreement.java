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

/** A router's member of the agreement with an injected defect, which the invariants must detect. */
public final class FaultyAgreement implements FleetConfigSource {
  private static final long SECOND_NANOS = 1_000_000_000;
  private final Defect defect;
  private final AgreementSubsystem member;
  private final StoreClient store;
  private DueConfig keptConfig;
  private volatile DueConfig earlyConfig;
  private volatile boolean stopped;

  /** The injected defect. */
  public enum Defect {
    /** Keeps its version after its lease has expired. */
    IGNORES_LEASE,
    /** Applies a version as soon as it is proposed. */
    RUNS_AHEAD,
    /** Keeps its version after its lease has expired, and retries requests under it. */
    REPEATS,
    /** Claims to have any endpoint list that a version requires, and accepts any list. */
    CLAIMS_LISTS
  }

  private FaultyAgreement(Defect defect, AgreementSubsystem member, StoreClient store) {
    this.defect = defect;
    this.member = member;
    this.store = store;
  }

  /** Creates the member for a router and its operators' file, with the defect. */
  public static FaultyAgreement of(Defect defect, Path features, RouterConfig router)
      throws IOException {
    Matcher port = Pattern.compile("127\\.0\\.0\\.1:([0-9]+)").matcher(Files.readString(features));
    if (!port.find()) {
      throw new IOException("no endpoint in " + features);
    }
    List<InetSocketAddress> endpoints =
        List.of(new InetSocketAddress("127.0.0.1", Integer.parseInt(port.group(1))));
    AgreementSubsystem member =
        new AgreementSubsystem(
            new AgreementConfig(
                endpoints,
                "/rehearsal",
                new AgreementTiming(SECOND_NANOS, 0.01, SECOND_NANOS / 2),
                null),
            router);
    return new FaultyAgreement(defect, member, new StoreClient(endpoints, SECOND_NANOS));
  }

  @Override
  public void run() {
    if (defect == Defect.RUNS_AHEAD) {
      Threads.start("runs-ahead", this::followProposals);
    }
    member.run();
  }

  private void followProposals() {
    AgreementKeys keys = new AgreementKeys("/rehearsal");
    while (!stopped) {
      if (store.ask(new StoreRequest.Read(keys.commonPrefix()))
          instanceof StoreResponse.Success success) {
        success.entries().stream()
            .filter(entry -> entry.key().endsWith("/next"))
            .forEach(entry -> applyEarly(entry.value()));
      }
    }
  }

  private void applyEarly(String text) {
    try {
      ConfigVersion next = ConfigCodec.decodeVersion(text);
      DueConfig now = member.dueConfig();
      if (earlyConfig == null || !earlyConfig.description().equals("early " + next.number())) {
        earlyConfig =
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
    DueConfig memberConfig = member.dueConfig();
    if (defect == Defect.RUNS_AHEAD) {
      return earlyConfig == null ? memberConfig : earlyConfig;
    }
    if (defect == Defect.CLAIMS_LISTS) {
      return memberConfig;
    }
    // Keeps the version that it has until a different one is active.
    if (keptConfig == null || memberConfig.description().matches("version [0-9]+")) {
      keptConfig = memberConfig;
    }
    return keptConfig;
  }

  @Override
  public void awaitFirstConfig() {
    member.awaitFirstConfig();
  }

  @Override
  public void configApplied(DueConfig config) {
    member.configApplied(config);
  }

  @Override
  public long oldestListVersion() {
    return 0;
  }

  @Override
  public void listReceived(long version) {
    member.listReceived(defect == Defect.CLAIMS_LISTS ? Long.MAX_VALUE : version);
  }

  @Override
  public void serverStatuses(Map<CacheServerClients.ListedServer, ServerStatus> statuses) {
    member.serverStatuses(statuses);
  }

  @Override
  public boolean mayWrite() {
    return true;
  }

  @Override
  public void leave() {
    stopped = true;
    member.leave();
  }
}
