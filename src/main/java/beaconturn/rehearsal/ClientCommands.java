package beaconturn.rehearsal;

import beaconturn.history.History;
import beaconturn.history.HistoryEvent;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.RespValue;
import beaconturn.protocol.RespWriter;
import beaconturn.protocol.Slice;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;

/** The clients' side of the protocol: encodes commands and interprets responses. */
final class ClientCommands {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private ClientCommands() {}

  /** Encodes the command of an attempt. */
  static byte[] encode(SequentialClient.Attempt attempt) {
    Scenario.RequestClass requestClass = attempt.request().requestClass();
    boolean isWrite = requestClass.effect() != Scenario.Effect.SAFE;
    StringBuilder attributes =
        new StringBuilder("c=")
            .append(requestClass.name())
            .append(",d=")
            .append(attempt.timeoutNanos() / NANOS_PER_MILLI);
    if (attempt.idempotencyKey() != null) {
      attributes.append(",k=").append(attempt.idempotencyKey());
    }
    if (attempt.number() > 0) {
      attributes.append(",r=1");
    }
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    add(output, RespWriter.arrayHeader(isWrite ? 5 : 4));
    add(output, RespWriter.bulk(isWrite ? "C.SET" : "C.GET"));
    add(output, RespWriter.bulk(attempt.request().key()));
    add(output, RespWriter.bulk(attempt.id()));
    add(output, RespWriter.bulk(attributes.toString()));
    if (isWrite) {
      add(output, RespWriter.bulk("v".repeat(requestClass.valueBytes())));
    }
    return output.toByteArray();
  }

  private static void add(ByteArrayOutputStream output, Slice piece) {
    output.write(piece.array(), piece.from(), piece.length());
  }

  /** Reads what is available, at least one byte; returns false at the end of the stream. */
  static boolean readInto(InputStream stream, InputBuffer buffer) throws IOException {
    int capacity = buffer.ensureRoom();
    int count = stream.read(buffer.array(), buffer.end(), capacity);
    if (count < 0) {
      return false;
    }
    buffer.filled(count);
    return true;
  }

  /** Returns the outcome that a response stands for. */
  static HistoryEvent.ClientOutcome outcomeOf(RespValue value) {
    if (value instanceof RespValue.Bulk bulk && bulk.bytes() != null) {
      return HistoryEvent.ClientOutcome.SERVED;
    }
    boolean isRejection =
        value instanceof RespValue.SimpleError failure
            && failure.text().toString().split(" ", 2)[0].equals("BUSY");
    return isRejection ? HistoryEvent.ClientOutcome.REJECTED : HistoryEvent.ClientOutcome.FAILED;
  }

  /** Returns the value's digest as recorded in the history, or 0 if the response has no value. */
  static long valueDigest(RespValue value) {
    return value instanceof RespValue.Bulk bulk && bulk.bytes() != null
        ? History.digest(bulk.bytes().copy())
        : 0;
  }

  /** Returns the delay that a rejection asks for before a retry, or 0 if it names none. */
  static long retryAfterNanos(RespValue value) {
    if (value instanceof RespValue.SimpleError failure) {
      String[] words = failure.text().toString().split(" ");
      if (words.length == 2 && words[0].equals("BUSY") && words[1].matches("[0-9]{1,9}")) {
        return Long.parseLong(words[1]) * NANOS_PER_MILLI;
      }
    }
    return 0;
  }
}
