package beaconturn.net;

import beaconturn.core.Body;
import beaconturn.core.Call;
import beaconturn.decision.Routing;
import beaconturn.protocol.RespWriter;
import beaconturn.protocol.Slice;
import beaconturn.stats.Tally;
import java.util.ArrayList;
import java.util.List;

/**
 * A request that came as a RESP2 command, and the place of its answer on the client's connection.
 */
final class ClientCall extends Reply implements Call {
  private static final long MILLI = 1_000_000;
  private final Call.Ask ask;
  private final long deadline;
  private final RequestParser.Parts parts;
  private final Reading reading;
  private final Runnable whenOver;

  /**
   * What it was read under: its class is one of the settings', and it is counted under the class's
   * name; by {@code aim} it is wanted, after that it is late.
   */
  record Reading(Routing.Settings settings, String className, long aim, Tally tally) {}

  /** A call that says when it has its answer, or nobody waits for one. */
  ClientCall(
      Call.Ask ask, long deadline, RequestParser.Parts parts, Reading reading, Runnable whenOver) {
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
  void abandoned() {
    end(Tally.End.ABANDONED, ClientWriter.END);
  }

  /**
   * What had begun and is not whole is broken off: the client has part of it, and can only fail.
   */
  private void end(Tally.End how, Slice answer) {
    boolean part = flow() != null && how != Tally.End.ANSWERED;
    if (fill(answer)) {
      reading
          .tally()
          .ended(reading.className(), part && how != Tally.End.ABANDONED ? Tally.End.ERRORED : how);
      if (how == Tally.End.ANSWERED) {
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
  public Call.Ask ask() {
    return ask;
  }

  @Override
  public Routing.Settings settings() {
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
  public void begun(Body body) {
    flow((Flow) body);
  }

  @Override
  public void served(Slice answer) {
    end(Tally.End.ANSWERED, answer == null ? ClientWriter.END : answer);
  }

  /** Rounded up, so that no client comes again before it should. */
  @Override
  public void refused(long retryAfter) {
    end(
        Tally.End.DEFERRED,
        RespWriter.failure(retryAfter <= 0 ? "BUSY" : "BUSY " + (retryAfter + MILLI - 1) / MILLI));
  }

  @Override
  public void failed() {
    end(Tally.End.ERRORED, RespWriter.failure("ERR failed"));
  }
}
