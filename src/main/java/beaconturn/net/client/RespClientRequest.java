package beaconturn.net.client;

import beaconturn.core.ClientRequest;
import beaconturn.core.StreamingResponse;
import beaconturn.decision.RoutingSettings;
import beaconturn.net.io.BoundedPipe;
import beaconturn.protocol.RespWriter;
import beaconturn.protocol.Slice;
import beaconturn.stats.RequestMetrics;
import java.util.ArrayList;
import java.util.List;

/**
 * A request that came as a RESP2 command, and the place of its answer on the client's connection.
 */
public final class RespClientRequest extends ResponseSlot implements ClientRequest {
  private static final long MILLI = 1_000_000;
  private final ClientRequest.Ask ask;
  private final long deadline;
  private final RequestParser.Parts parts;
  private final Reading reading;
  private final Runnable whenOver;

  /**
   * What it was read under: its class is one of the settings', and it is counted under the class's
   * name; by {@code aim} it is wanted, after that it is late.
   */
  public record Reading(
      RoutingSettings settings, String className, long aim, RequestMetrics tally) {}

  /** A call that says when it has its answer, or nobody waits for one. */
  public RespClientRequest(
      ClientRequest.Ask ask,
      long deadline,
      RequestParser.Parts parts,
      Reading reading,
      Runnable whenOver) {
    this.ask = ask;
    this.deadline = deadline;
    this.parts = parts;
    this.reading = reading;
    this.whenOver = whenOver;
  }

  /** The request's id, as its client gave it. */
  @Override
  public String id() {
    return parts.id().toString();
  }

  /** From now on an answer is owed. */
  void taken() {
    reading.tally().taken();
  }

  /** Nobody waits for the answer any more. */
  public void abandoned() {
    end(RequestMetrics.End.ABANDONED, ClientWriter.END);
  }

  /**
   * What had begun and is not whole is broken off: the client has part of it, and can only fail.
   */
  private void end(RequestMetrics.End how, Slice answer) {
    boolean part = flow() != null && how != RequestMetrics.End.ANSWERED;
    if (fill(answer)) {
      reading
          .tally()
          .ended(
              reading.className(),
              part && how != RequestMetrics.End.ABANDONED ? RequestMetrics.End.ERRORED : how);
      if (how == RequestMetrics.End.ANSWERED) {
        reading.tally().served(reading.aim());
      }
      if (part) {
        flow().breakOff();
      }
    }
  }

  @Override
  void over() {
    whenOver.run();
  }

  @Override
  public ClientRequest.Ask ask() {
    return ask;
  }

  @Override
  public RoutingSettings settings() {
    return reading.settings();
  }

  @Override
  public boolean waits() {
    return !isFilled();
  }

  @Override
  public long deadline() {
    return deadline;
  }

  @Override
  public List<Slice> forwarded(long waitMillis) {
    List<Slice> pieces = new ArrayList<>(4);
    pieces.add(RespWriter.listOf(parts.value() == null ? 4 : 5));
    pieces.add(parts.head());
    pieces.add(RespWriter.bulk(parts.attributesWith(waitMillis)));
    if (parts.value() != null) {
      pieces.add(parts.value());
    }
    return pieces;
  }

  @Override
  public void begun(StreamingResponse body) {
    flow((BoundedPipe) body);
  }

  @Override
  public void served(Slice answer) {
    end(RequestMetrics.End.ANSWERED, answer == null ? ClientWriter.END : answer);
  }

  /** Rounded up, so that no client comes again before it should. */
  @Override
  public void refused(long retryAfter) {
    end(
        RequestMetrics.End.DEFERRED,
        RespWriter.failure(retryAfter <= 0 ? "BUSY" : "BUSY " + (retryAfter + MILLI - 1) / MILLI));
  }

  @Override
  public void failed() {
    end(RequestMetrics.End.ERRORED, RespWriter.failure("ERR failed"));
  }
}
