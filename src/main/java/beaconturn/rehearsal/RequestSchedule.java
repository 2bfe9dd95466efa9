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
    for (int stream = 0; stream < scenario.clientStreams().size(); stream++) {
      schedule.add(stream, scenario.clientStreams().get(stream));
    }
    schedule.requests.sort(Comparator.comparingLong(ScheduledRequest::atNanos));
    List<ScheduledRequest> numbered = new ArrayList<>();
    for (ScheduledRequest request : schedule.requests) {
      numbered.add(
          new ScheduledRequest(
              numbered.size(),
              request.atNanos(),
              request.stream(),
              request.requestClass(),
              request.key(),
              request.randomBits()));
    }
    return List.copyOf(numbered);
  }

  private void add(int stream, Scenario.ClientStream clientStream) {
    UniformRandomProvider random = new RandomSources(scenario.seed()).of("clients " + stream);
    SharedStateDiscreteSampler keyRanks =
        RejectionInversionZipfSampler.of(random, clientStream.keyCount(), clientStream.keySkew());
    List<Scenario.RequestClass> requestClasses =
        scenario.requestClasses().stream()
            .filter(
                requestClass ->
                    clientStream.classNames().isEmpty()
                        || clientStream.classNames().contains(requestClass.name()))
            .toList();
    double atNanos = clientStream.fromNanos();
    while (true) {
      atNanos +=
          -StrictMath.log(1 - random.nextDouble())
              * NANOS_PER_SECOND
              / clientStream.requestsPerSecond();
      if (atNanos >= clientStream.toNanos()) {
        return;
      }
      String key = String.format("%016x", keyRanks.sample() * KEY_MULTIPLIER);
      requests.add(
          new ScheduledRequest(
              0,
              (long) atNanos,
              stream,
              pick(requestClasses, random.nextDouble()),
              key,
              random.nextLong()));
    }
  }

  private static Scenario.RequestClass pick(
      List<Scenario.RequestClass> requestClasses, double fraction) {
    double remaining =
        fraction * requestClasses.stream().mapToDouble(Scenario.RequestClass::trafficShare).sum();
    for (Scenario.RequestClass requestClass : requestClasses) {
      remaining -= requestClass.trafficShare();
      if (remaining < 0) {
        return requestClass;
      }
    }
    return requestClasses.get(requestClasses.size() - 1);
  }
}
