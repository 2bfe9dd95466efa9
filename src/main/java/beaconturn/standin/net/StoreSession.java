package beaconturn.standin.net;

import beaconturn.protocol.HttpReader;
import beaconturn.protocol.HttpRequest;
import beaconturn.protocol.HttpWriter;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonReader;
import beaconturn.protocol.JsonWriter;
import beaconturn.protocol.ProtocolException;
import beaconturn.standin.store.StoreModel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** One connection to the stand-in store: the part of etcd's HTTP/JSON gateway that routers use. */
final class StoreSession extends NonBlockingConnection {
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private final StoreModel model;
  private final StoreServer server;
  private final HttpReader reader = new HttpReader(MAX_BODY_BYTES);

  StoreSession(EventLoop loop, SocketChannel channel, StoreServer server) {
    super(loop, channel);
    this.server = server;
    this.model = server.model();
  }

  @Override
  protected void parse(InputBuffer buffer) throws ProtocolException {
    for (HttpRequest r = reader.nextRequest(buffer); r != null; r = reader.nextRequest(buffer)) {
      if (server.down()) {
        reset();
        return;
      }
      HttpRequest request = r;
      loop.scheduler().in(server.delayNanos(), () -> serve(request));
    }
  }

  private void serve(HttpRequest request) {
    server.countCall();
    try {
      String path = request.path();
      Json reply = reply(path, JsonReader.read(request.body()));
      if (path.equals("/v3/kv/txn") && server.losesReply()) {
        reset();
      } else if (reply == null) {
        write(HttpWriter.response(NOT_FOUND, "{\"code\":5,\"message\":\"Not Found\"}"));
      } else {
        write(HttpWriter.response(OK, JsonWriter.write(reply)));
      }
    } catch (ProtocolException | IllegalArgumentException e) {
      write(
          HttpWriter.response(
              BAD_REQUEST,
              JsonWriter.write(
                  object(
                      "code",
                      new Json.NumberLiteral("3"),
                      "message",
                      new Json.Text(String.valueOf(e.getMessage()))))));
    }
  }

  private Json reply(String path, Json body) {
    return switch (path) {
      case "/v3/kv/range" -> range(body);
      case "/v3/kv/txn" -> transact(body);
      case "/v3/lease/grant" -> {
        long seconds = number(body.get("TTL"));
        yield object(
            "header", header(), "ID", decimal(model.grant(seconds)), "TTL", decimal(seconds));
      }
      case "/v3/lease/keepalive" -> {
        long seconds = model.keepAlive(number(body.get("ID")));
        Json result =
            seconds > 0
                ? object("header", header(), "ID", body.get("ID"), "TTL", decimal(seconds))
                : object("header", header(), "ID", body.get("ID"));
        yield object("result", result);
      }
      case "/v3/lease/revoke" -> {
        model.revoke(number(body.get("ID")));
        yield object("header", header());
      }
      default -> null;
    };
  }

  private Json range(Json body) {
    List<Json> pairs = new ArrayList<>();
    for (StoreModel.Pair pair :
        model.range(decode(body.get("key")), decode(body.get("range_end")))) {
      Map<String, Json> members = new LinkedHashMap<>();
      members.put("key", encode(pair.key()));
      members.put("create_revision", decimal(pair.createRevision()));
      members.put("mod_revision", decimal(pair.modRevision()));
      members.put("version", decimal(pair.version()));
      members.put("value", encode(pair.value()));
      if (pair.lease() != 0) {
        members.put("lease", decimal(pair.lease()));
      }
      pairs.add(new Json.Members(members));
    }
    return pairs.isEmpty()
        ? object("header", header())
        : object("header", header(), "kvs", new Json.Items(pairs), "count", decimal(pairs.size()));
  }

  private Json transact(Json body) {
    List<StoreModel.Condition> conditions = new ArrayList<>();
    for (Json condition : body.get("compare").items()) {
      String target = condition.get("target").asText("VERSION");
      String field =
          switch (target) {
            case "CREATE" -> "create_revision";
            case "MOD" -> "mod_revision";
            default -> target.toLowerCase(Locale.ROOT);
          };
      conditions.add(
          new StoreModel.Condition(
              decode(condition.get("key")),
              decode(condition.get("range_end")),
              StoreModel.Target.valueOf(target),
              StoreModel.Result.valueOf(condition.get("result").asText("EQUAL")),
              number(condition.get(field))));
    }
    List<StoreModel.ModelChange> changes = new ArrayList<>();
    for (Json operation : body.get("success").items()) {
      Json put = operation.get("request_put");
      Json delete = operation.get("request_delete_range");
      changes.add(
          put instanceof Json.Members
              ? new StoreModel.ModelChange(
                  decode(put.get("key")), "", decode(put.get("value")), number(put.get("lease")))
              : new StoreModel.ModelChange(
                  decode(delete.get("key")), decode(delete.get("range_end")), null, 0));
    }
    return model.transact(conditions, changes)
        ? object("header", header(), "succeeded", new Json.Bool(true))
        : object("header", header());
  }

  private Json header() {
    return object(
        "cluster_id",
        decimal(model.clusterId()),
        "member_id",
        decimal(1),
        "revision",
        decimal(model.revision()),
        "raft_term",
        decimal(2));
  }

  private static String decode(Json json) {
    return new String(Base64.getDecoder().decode(json.asText("")), StandardCharsets.UTF_8);
  }

  private static Json encode(String text) {
    return new Json.Text(Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
  }

  private static long number(Json json) {
    return Long.parseLong(json.asText("0"));
  }

  private static Json decimal(long number) {
    return new Json.Text(Long.toString(number));
  }

  private static Json object(Object... pairs) {
    Map<String, Json> members = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      members.put(pairs[i].toString(), (Json) pairs[i + 1]);
    }
    return new Json.Members(members);
  }

  @Override
  protected void invalidInput(String reason) {
    write(HttpWriter.response(BAD_REQUEST, "{}"));
  }

  @Override
  protected void connectionClosed() {
    // Delayed calls are still executed, as by a real store; only their replies are lost.
  }
}
