package beaconturn.net.agreement;

import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import beaconturn.protocol.HttpReader;
import beaconturn.protocol.HttpResponse;
import beaconturn.protocol.HttpWriter;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonReader;
import beaconturn.protocol.JsonWriter;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Calls an etcd v3 store through its HTTP/JSON gateway, one call at a time over one kept
 * connection; after a call that failed the next member is asked. For one thread. Source: etcd's
 * published API reference, v3 (kv, lease), and the mapping of protocol buffers to JSON: bytes in
 * base 64, long numbers as texts, fields that are zero left out.
 */
public final class StoreClient implements CoordinationStore {
  private static final int LONGEST_BODY = 8 << 20;
  private static final int OK = 200;
  private static final long MILLI = 1_000_000;
  private final List<InetSocketAddress> members;
  private final int timeoutMillis;
  private int member;
  private Socket socket;
  private InputBuffer in;

  /** A client whose calls take at most so many nanoseconds. */
  public StoreClient(List<InetSocketAddress> members, long timeout) {
    this.members = List.copyOf(members);
    this.timeoutMillis = (int) Math.max(1, timeout / MILLI);
  }

  @Override
  public StoreResponse ask(StoreRequest call) {
    try {
      return answer(call, post(path(call), body(call)));
    } catch (SocketTimeoutException e) {
      return failed("no answer in time");
    } catch (IOException | ProtocolException | NumberFormatException e) {
      return failed(e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage());
    }
  }

  private StoreResponse failed(String why) {
    close();
    member = (member + 1) % members.size();
    return new StoreResponse.Failed(why);
  }

  /** Ends the connection. */
  public void close() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        // Nothing is left to do with a socket that fails to close.
        in = null;
      }
      socket = null;
    }
  }

  private Json post(String path, Json body) throws IOException, ProtocolException {
    long until = System.nanoTime() + timeoutMillis * MILLI;
    InetSocketAddress at = members.get(member);
    if (socket == null) {
      in = new InputBuffer();
      socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(at, timeoutMillis);
    }
    String host = at.getHostString() + ":" + at.getPort();
    Slice request = HttpWriter.post(path, host, JsonWriter.write(body));
    OutputStream out = socket.getOutputStream();
    out.write(request.array(), request.from(), request.length());
    HttpResponse response = read(until);
    if (!response.keepAlive() || in.size() > 0) {
      close();
    }
    Json json = JsonReader.read(response.body());
    if (response.status() != OK) {
      throw new IOException(
          "status "
              + response.status()
              + " "
              + json.get("message").word(json.get("error").word("")));
    }
    return json;
  }

  private HttpResponse read(long until) throws IOException, ProtocolException {
    HttpReader reader = new HttpReader(LONGEST_BODY);
    boolean more = true;
    while (more) {
      long left = (until - System.nanoTime()) / MILLI;
      if (left <= 0) {
        break;
      }
      socket.setSoTimeout((int) left);
      int room = in.ensureRoom();
      int got = socket.getInputStream().read(in.array(), in.end(), room);
      more = got >= 0;
      in.filled(Math.max(0, got));
      HttpResponse response = reader.next(in, !more);
      if (response != null) {
        return response;
      }
    }
    throw new IOException(more ? "no answer in time" : "the connection ended before the answer");
  }

  private static String path(StoreRequest call) {
    return call instanceof StoreRequest.Read
        ? "/v3/kv/range"
        : call instanceof StoreRequest.Transaction
            ? "/v3/kv/txn"
            : call instanceof StoreRequest.Grant
                ? "/v3/lease/grant"
                : call instanceof StoreRequest.KeepAlive
                    ? "/v3/lease/keepalive"
                    : "/v3/lease/revoke";
  }

  private static Json body(StoreRequest call) {
    if (call instanceof StoreRequest.Read read) {
      return object("key", bytes(read.prefix()), "range_end", bytes(end(read.prefix())));
    }
    if (call instanceof StoreRequest.Grant grant) {
      return object("TTL", Long.toString(grant.ttlSeconds()));
    }
    if (call instanceof StoreRequest.KeepAlive alive) {
      return object("ID", Long.toString(alive.leaseId()));
    }
    if (call instanceof StoreRequest.Revoke revoke) {
      return object("ID", Long.toString(revoke.leaseId()));
    }
    StoreRequest.Transaction swap = (StoreRequest.Transaction) call;
    return object(
        "compare", new Json.Items(swap.conditions().stream().map(StoreClient::compare).toList()),
        "success", new Json.Items(swap.changes().stream().map(StoreClient::change).toList()));
  }

  private static Json compare(StoreRequest.Condition condition) {
    if (condition instanceof StoreRequest.Condition.Unchanged same) {
      return object(
          "key",
          bytes(same.key()),
          "target",
          "MOD",
          "result",
          "EQUAL",
          "mod_revision",
          Long.toString(same.modRevision()));
    }
    if (condition instanceof StoreRequest.Condition.Exists stands) {
      return object(
          "key",
          bytes(stands.key()),
          "target",
          "CREATE",
          "result",
          "GREATER",
          "create_revision",
          "0");
    }
    StoreRequest.Condition.NoneModifiedAfter none =
        (StoreRequest.Condition.NoneModifiedAfter) condition;
    return object(
        "key",
        bytes(none.prefix()),
        "range_end",
        bytes(end(none.prefix())),
        "target",
        "MOD",
        "result",
        "LESS",
        "mod_revision",
        Long.toString(none.storeRevision() + 1));
  }

  private static Json change(StoreRequest.Change change) {
    if (change instanceof StoreRequest.Change.Put put) {
      return object(
          "request_put",
          object(
              "key",
              bytes(put.key()),
              "value",
              bytes(put.value()),
              "lease",
              Long.toString(put.leaseId())));
    }
    return object(
        "request_delete_range", object("key", bytes(((StoreRequest.Change.Delete) change).key())));
  }

  private static StoreResponse answer(StoreRequest call, Json json) throws ProtocolException {
    Json given = call instanceof StoreRequest.KeepAlive ? json.get("result") : json;
    Json header = given.get("header");
    if (!(header instanceof Json.Members)) {
      throw new ProtocolException("an answer without a header: " + JsonWriter.write(json));
    }
    List<StoreResponse.Entry> pairs = new ArrayList<>();
    for (Json kv : given.get("kvs").items()) {
      pairs.add(
          new StoreResponse.Entry(
              text(kv.get("key")),
              text(kv.get("value")),
              whole(kv.get("create_revision")),
              whole(kv.get("mod_revision")),
              whole(kv.get("lease"))));
    }
    return new StoreResponse.Success(
        given.get("succeeded").word("false").equals("true"),
        header.get("cluster_id").word(""),
        whole(header.get("revision")),
        List.copyOf(pairs),
        whole(given.get("ID")),
        whole(given.get("TTL")));
  }

  private static long whole(Json json) {
    return Long.parseLong(json.word("0"));
  }

  private static Json bytes(String text) {
    return new Json.Text(Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
  }

  private static String text(Json json) throws ProtocolException {
    try {
      return new String(Base64.getDecoder().decode(json.word("")), StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      throw new ProtocolException("not in base 64: " + json.word(""));
    }
  }

  /** The first key behind all that begin so; prefixes end in a slash. */
  private static String end(String prefix) {
    char last = prefix.charAt(prefix.length() - 1);
    return prefix.substring(0, prefix.length() - 1) + (char) (last + 1);
  }

  private static Json object(Object... pairs) {
    Map<String, Json> members = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      members.put(
          pairs[i].toString(),
          pairs[i + 1] instanceof Json json ? json : new Json.Text(pairs[i + 1].toString()));
    }
    return new Json.Members(members);
  }
}
