package beaconturn.rehearsal;

import beaconturn.standin.RandomSources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;

/**
 * Generates all requests of a rehearsal in advance from the seed, as an open-loop workload whose
 * arrivals do not depend on responses.
 */
final class RequestSchedule {
  private static final long KEY_MULTIPLIER = 0x9e3779b97f4a7c15L;
  private static final double NANOS_PER_SECOND = 1e9;
  private final Scenario scenario;
  private final List<ScheduledRequest> requests = new ArrayList<>();

  private RequestSchedule(Scenario scenario) {
    this.scenario = scenario;
  }

  /** Returns the requests of a scenario, ordered by time. */
  static List<ScheduledRequest> of(Scenario scenario) {
    RequestSchedule schedule = new RequestSchedule(scenario);
    for (int stream = 0; stream < scenario.clients().size(); stream++) {
      schedule.add(stream, scenario.clients().get(stream));
    }
    schedule.requests.sort(Comparator.comparingLong(ScheduledRequest::atNanos));
    List<ScheduledRequest> numbered = new ArrayList<>();
    for (ScheduledRequest request : schedule.requests) {
      numbered.add(
          new ScheduledRequest(numbered.size(), request.atNanos(), request.stream(), request.requestClass(), request.key(), request.randomBits()));
    }
    return List.copyOf(numbered);
  }

  private void add(int stream, Scenario.Clients clients) {
    UniformRandomProvider random = new RandomSources(scenario.seed()).of("clients " + stream);
    SharedStateDiscreteSampler keyRanks =
        RejectionInversionZipfSampler.of(random, clients.keys(), clients.skew());
    List<Scenario.Type> types =
        scenario.types().stream()
            .filter(type -> clients.classes().isEmpty() || clients.classes().contains(type.name()))
            .toList();
    double atNanos = clients.from();
    while (true) {
      atNanos += -Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / clients.rate();
      if (atNanos >= clients.to()) {
        return;
      }
      String key = String.format("%016x", keyRanks.sample() * KEY_MULTIPLIER);
      requests.add(
          new ScheduledRequest(
              0, (long) atNanos, stream, pick(types, random.nextDouble()), key, random.nextLong()));
    }
  }

  private static Scenario.Type pick(List<Scenario.Type> types, double fraction) {
    double remaining = fraction * types.stream().mapToDouble(Scenario.Type::share).sum();
    for (Scenario.Type type : types) {
      remaining -= type.share();
      if (remaining < 0) {
        return type;
      }
    }
    return types.get(types.size() - 1);
  }
}
