package beaconturn.net.client;

import beaconturn.core.ClientRequest;
import beaconturn.core.RequestDescription;
import beaconturn.core.StreamingResponse;
import beaconturn.decision.RoutingSettings;
import beaconturn.net.io.BoundedPipe;
import beaconturn.protocol.RespWriter;
import beaconturn.protocol.Slice;
import beaconturn.stats.RequestEnd;
import beaconturn.stats.RequestMetrics;
import java.util.ArrayList;
import java.util.List;

/**
 * A request that came as a RESP2 command, and the place of its answer on the client's connection.
 * Any thread may call any method.
 */
public final class RespClientRequest extends ResponseSlot implements ClientRequest {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final RequestDescription description;
  private final long deadlineNanos;
  private final RequestParser.Parts parts;
  private final Reading reading;
  private final Runnable whenFilled;

  /**
   * What a request was read under.
   *
   * @param settings the settings in force then; its class is one of theirs
   * @param className the name of its class, under which it is counted
   * @param objectiveAtNanos when the client wants its answer; after that it is late
   * @param metrics where it is counted
   */
  public record Reading(
      RoutingSettings settings, String className, long objectiveAtNanos, RequestMetrics metrics) {}

  /** A request without an answer; {@code whenFilled} runs once it has one, or is abandoned. */
  public RespClientRequest(
      RequestDescription description,
      long deadlineNanos,
      RequestParser.Parts parts,
      Reading reading,
      Runnable whenFilled) {
    this.description = description;
    this.deadlineNanos = deadlineNanos;
    this.parts = parts;
    this.reading = reading;
    this.whenFilled = whenFilled;
  }

  /** The request's id, as its client gave it. */
  @Override
  public String id() {
    return parts.id().toString();
  }

  /** Counts the request: from now on an answer is owed. */
  void taken() {
    reading.metrics().requestAccepted();
  }

  /** Ends the request without an answer, as nobody waits for one any more. */
  public void abandoned() {
    end(RequestEnd.ABANDONED, ClientWriter.END);
  }

  /**
   * Ends the request with its answer; only the first call counts. A streamed answer that has begun
   * and is not whole is broken off: the client has part of it, and can only fail.
   */
  private void end(RequestEnd end, Slice answer) {
    boolean brokenOff = stream() != null && end != RequestEnd.SUCCEEDED;
    if (!fill(answer)) {
      return;
    }
    boolean countsAsError = brokenOff && end != RequestEnd.ABANDONED;
    reading.metrics().requestEnded(reading.className(), countsAsError ? RequestEnd.FAILED : end);
    if (end == RequestEnd.SUCCEEDED) {
      reading.metrics().requestSucceeded(reading.objectiveAtNanos());
    }
    if (brokenOff) {
      stream().breakOff();
    }
  }

  @Override
  void onFilled() {
    whenFilled.run();
  }

  @Override
  public RequestDescription description() {
    return description;
  }

  @Override
  public RoutingSettings settings() {
    return reading.settings();
  }

  @Override
  public boolean isAwaited() {
    return !isFilled();
  }

  @Override
  public long deadlineNanos() {
    return deadlineNanos;
  }

  @Override
  public List<Slice> encode(long waitMillis) {
    List<Slice> pieces = new ArrayList<>(4);
    pieces.add(RespWriter.arrayHeader(parts.value() == null ? 4 : 5));
    pieces.add(parts.head());
    pieces.add(RespWriter.bulk(parts.attributesWith(waitMillis)));
    if (parts.value() != null) {
      pieces.add(parts.value());
    }
    return pieces;
  }

  @Override
  public void startStreaming(StreamingResponse response) {
    startStream((BoundedPipe) response);
  }

  @Override
  public void respond(Slice answer) {
    end(RequestEnd.SUCCEEDED, answer == null ? ClientWriter.END : answer);
  }

  /** Rounded up, so that no client comes again before it should. */
  @Override
  public void reject(long retryAfterNanos) {
    end(
        RequestEnd.REJECTED,
        RespWriter.error(
            retryAfterNanos <= 0
                ? "BUSY"
                : "BUSY " + (retryAfterNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI));
  }

  @Override
  public void fail() {
    end(RequestEnd.FAILED, RespWriter.error("ERR failed"));
  }
}
