package beaconturn.rehearsal;

import beaconturn.standin.RandomSources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;

/** All requests of a play, made ahead of it from the seed: open arrivals that no stall holds up. */
final class RequestSchedule {
  private static final long SPREAD = 0x9e3779b97f4a7c15L;
  private static final double SECOND = 1e9;
  private final Scenario scenario;
  private final List<ScheduledRequest> all = new ArrayList<>();

  private RequestSchedule(Scenario scenario) {
    this.scenario = scenario;
  }

  /** The requests in the order of their times. */
  static List<ScheduledRequest> of(Scenario scenario) {
    RequestSchedule plan = new RequestSchedule(scenario);
    for (int stream = 0; stream < scenario.clients().size(); stream++) {
      plan.add(stream, scenario.clients().get(stream));
    }
    plan.all.sort(Comparator.comparingLong(ScheduledRequest::at));
    List<ScheduledRequest> numbered = new ArrayList<>();
    for (ScheduledRequest p : plan.all) {
      numbered.add(
          new ScheduledRequest(numbered.size(), p.at(), p.stream(), p.type(), p.key(), p.chance()));
    }
    return List.copyOf(numbered);
  }

  private void add(int stream, Scenario.Clients clients) {
    UniformRandomProvider random = new RandomSources(scenario.seed()).of("clients " + stream);
    SharedStateDiscreteSampler rank =
        RejectionInversionZipfSampler.of(random, clients.keys(), clients.skew());
    List<Scenario.Type> types =
        scenario.types().stream()
            .filter(t -> clients.classes().isEmpty() || clients.classes().contains(t.name()))
            .toList();
    double at = clients.from();
    while (true) {
      at += -Math.log(1 - random.nextDouble()) * SECOND / clients.rate();
      if (at >= clients.to()) {
        return;
      }
      String key = String.format("%016x", rank.sample() * SPREAD);
      all.add(
          new ScheduledRequest(
              0, (long) at, stream, pick(types, random.nextDouble()), key, random.nextLong()));
    }
  }

  private static Scenario.Type pick(List<Scenario.Type> types, double chance) {
    double left = chance * types.stream().mapToDouble(Scenario.Type::share).sum();
    for (Scenario.Type type : types) {
      left -= type.share();
      if (left < 0) {
        return type;
      }
    }
    return types.get(types.size() - 1);
  }
}
