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
 * A request received as a RESP2 command, and its position among the responses of the client
 * connection. Any thread may call any method.
 */
public final class RespClientRequest extends ResponseSlot implements ClientRequest {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final RequestDescription description;
  private final long deadlineNanos;
  private final ParseContext parseContext;

  /** Dropped once released, as it may refer to the received bytes. Guarded by this. */
  private RequestIdReservation idReservation;

  /** Replaced on completion by parts without the value, if that is large. */
  private volatile RequestParser.Parts parts;

  /** Whether the client is known to be connected. Set before the request is shared. */
  private ClientPresence clientPresence = ClientPresence.ALWAYS;

  /** The memory for a response that has to wait, or null for no limit. Set before sharing. */
  private WaitingResponses waitingResponses;

  /** The memory reserved for a large value, or null. Set before the request is shared. */
  private MemoryReservation memory;

  /**
   * The conditions under which a request was parsed.
   *
   * @param settings the settings active at that time, which define the request's class
   * @param className the name of its class, under which the request is counted
   * @param objectiveAtNanos when its latency objective expires
   * @param metrics counts the request
   */
  public record ParseContext(
      RoutingSettings settings, String className, long objectiveAtNanos, RequestMetrics metrics) {}

  /**
   * Creates a request without a response; the id is released once the request is answered or
   * abandoned.
   */
  public RespClientRequest(
      RequestDescription description,
      long deadlineNanos,
      RequestParser.Parts parts,
      ParseContext parseContext,
      RequestIdReservation idReservation) {
    this.description = description;
    this.deadlineNanos = deadlineNanos;
    this.parts = parts;
    this.parseContext = parseContext;
    this.idReservation = idReservation;
  }

  /** The request id given by the client. */
  @Override
  public String id() {
    return parts.id().toString();
  }

  /**
   * Holds the memory, which may be null, until the request is completed. To be called before the
   * request is shared with other threads.
   */
  void holdMemory(MemoryReservation reservation) {
    memory = reservation;
  }

  /** Limits the memory of the response. To be called before the request is shared. */
  void limitResponse(WaitingResponses memory) {
    waitingResponses = memory;
  }

  /**
   * Sets what tells whether the client is known to be connected. To be called before the request is
   * shared with other threads.
   */
  void onlyWhile(ClientPresence presence) {
    clientPresence = presence;
  }

  /** Counts the request as accepted: from now on a response is outstanding. */
  void accepted() {
    parseContext.metrics().requestAccepted();
  }

  /** Ends the request without a response, as its client has disconnected. */
  public void abandoned() {
    complete(RequestEnd.ABANDONED, ClientWriter.END_OF_OUTPUT);
  }

  /**
   * Completes the request; only the first call has an effect. A streamed response that is
   * incomplete is aborted; if its client has received no part of it, it gets this response instead.
   */
  private void complete(RequestEnd end, Slice response) {
    BoundedPipe stream = stream();
    boolean aborted = stream != null && end != RequestEnd.SUCCEEDED;
    boolean truncated = aborted && stream.isStarted();
    if (!fill(response)) {
      return;
    }
    // The response may wait long for those in front of it, or for a client that does not read.
    if (memory != null) {
      parts = parts.withoutValue();
    }
    boolean countsAsError = truncated && end != RequestEnd.ABANDONED;
    parseContext
        .metrics()
        .requestEnded(parseContext.className(), countsAsError ? RequestEnd.FAILED : end);
    if (end == RequestEnd.SUCCEEDED) {
      parseContext.metrics().requestSucceeded(parseContext.objectiveAtNanos());
    }
    if (aborted) {
      stream.abort();
    }
  }

  @Override
  boolean reserveCollected(int bytes) {
    return waitingResponses == null || waitingResponses.reserveCollected(this, bytes);
  }

  @Override
  void stopWaitingForMemory() {
    if (waitingResponses != null) {
      waitingResponses.stopWaiting();
    }
  }

  @Override
  void onFilled() {
    idReservation.release();
    idReservation = null;
    if (memory != null) {
      memory.release();
    }
  }

  @Override
  public RequestDescription description() {
    return description;
  }

  @Override
  public RoutingSettings settings() {
    return parseContext.settings();
  }

  @Override
  public boolean isAwaited() {
    return !isFilled() && clientPresence.isKnown();
  }

  @Override
  public boolean confirmAwaited() {
    return isAwaited() && clientPresence.confirm() && isAwaited();
  }

  @Override
  public synchronized boolean startAttempt() {
    if (isFilled()) {
      return false;
    }
    idReservation.executionPossible();
    return true;
  }

  @Override
  public long deadlineNanos() {
    return deadlineNanos;
  }

  @Override
  public List<Slice> encode(long waitMillis) {
    RequestParser.Parts current = parts;
    List<Slice> chunks = new ArrayList<>(4);
    chunks.add(RespWriter.arrayHeader(current.value() == null ? 4 : 5));
    chunks.add(current.head());
    chunks.add(RespWriter.bulk(current.attributesWithWait(waitMillis)));
    if (current.value() != null) {
      chunks.add(current.value());
    }
    return chunks;
  }

  @Override
  public void startStreaming(StreamingResponse response) {
    startStream((BoundedPipe) response);
  }

  @Override
  public void respond(Slice response) {
    if (response == null) {
      complete(RequestEnd.SUCCEEDED, ClientWriter.END_OF_OUTPUT);
    } else if (waitingResponses == null || waitingResponses.reserve(this, response.length())) {
      complete(RequestEnd.SUCCEEDED, response);
    } else {
      fail();
    }
  }

  @Override
  public void reject(long retryAfterNanos) {
    complete(RequestEnd.REJECTED, rejection(retryAfterNanos));
  }

  /**
   * The response that rejects a command. Rounds the delay up to whole milliseconds, so that no
   * client retries too early.
   *
   * @param retryAfterNanos when the client may retry, 0 for no advice
   */
  static Slice rejection(long retryAfterNanos) {
    return RespWriter.error(
        retryAfterNanos <= 0
            ? "BUSY"
            : "BUSY " + (retryAfterNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
  }

  @Override
  public void fail() {
    complete(RequestEnd.FAILED, RespWriter.error("ERR failed"));
  }
}
