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

/** The clients' side of the protocol: commands as bytes, and what answers mean. */
final class ClientCommands {
  private static final long MILLI = 1_000_000;

  private ClientCommands() {}

  /** The command of a try. */
  static byte[] bytes(SequentialClient.Try one) {
    Scenario.Type type = one.planned().type();
    boolean write = type.effect() != Scenario.Effect.SAFE;
    StringBuilder attributes =
        new StringBuilder("c=").append(type.name()).append(",d=").append(one.patience() / MILLI);
    if (one.once() != null) {
      attributes.append(",k=").append(one.once());
    }
    if (one.attempt() > 0) {
      attributes.append(",r=1");
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    add(out, RespWriter.arrayHeader(write ? 5 : 4));
    add(out, RespWriter.bulk(write ? "C.SET" : "C.GET"));
    add(out, RespWriter.bulk(one.planned().key()));
    add(out, RespWriter.bulk(one.id()));
    add(out, RespWriter.bulk(attributes.toString()));
    if (write) {
      add(out, RespWriter.bulk("v".repeat(type.size())));
    }
    return out.toByteArray();
  }

  private static void add(ByteArrayOutputStream out, Slice piece) {
    out.write(piece.array(), piece.from(), piece.length());
  }

  /** Reads what has come, waiting for the first byte; false at the end of the stream. */
  static boolean read(InputStream from, InputBuffer into) throws IOException {
    int room = into.ensureRoom();
    int got = from.read(into.array(), into.end(), room);
    if (got < 0) {
      return false;
    }
    into.filled(got);
    return true;
  }

  /** What an answer says. */
  static HistoryEvent.ClientOutcome kind(RespValue value) {
    if (value instanceof RespValue.Bulk bulk && bulk.bytes() != null) {
      return HistoryEvent.ClientOutcome.SERVED;
    }
    boolean busy =
        value instanceof RespValue.SimpleError failure
            && failure.text().toString().split(" ", 2)[0].equals("BUSY");
    return busy ? HistoryEvent.ClientOutcome.REJECTED : HistoryEvent.ClientOutcome.FAILED;
  }

  /** By what a value is known in the account; 0 where the answer is none. */
  static long digest(RespValue value) {
    return value instanceof RespValue.Bulk bulk && bulk.bytes() != null
        ? History.digest(bulk.bytes().copy())
        : 0;
  }

  /** When a refusal allows another try, in nanoseconds; 0 where it does not say. */
  static long retryAfter(RespValue value) {
    if (value instanceof RespValue.SimpleError failure) {
      String[] words = failure.text().toString().split(" ");
      if (words.length == 2 && words[0].equals("BUSY") && words[1].matches("[0-9]{1,9}")) {
        return Long.parseLong(words[1]) * MILLI;
      }
    }
    return 0;
  }
}
