package beaconturn.net.agreement;

import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import beaconturn.protocol.ProtocolException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes requests and decodes responses as the JSON of etcd's v3 gateway, as specified by etcd's
 * API reference v3 (kv, lease) and the JSON mapping of protocol buffers: bytes in Base64, 64-bit
 * integers as strings, fields with the value zero omitted.
 */
final class EtcdCodec {
  private EtcdCodec() {}

  /** Returns the API path of a request. */
  static String path(StoreRequest request) {
    if (request instanceof StoreRequest.Read) {
      return "/v3/kv/range";
    }
    if (request instanceof StoreRequest.Transaction) {
      return "/v3/kv/txn";
    }
    if (request instanceof StoreRequest.Grant) {
      return "/v3/lease/grant";
    }
    return request instanceof StoreRequest.KeepAlive ? "/v3/lease/keepalive" : "/v3/lease/revoke";
  }

  /** Encodes the body of a request. */
  static Json body(StoreRequest request) {
    if (request instanceof StoreRequest.Read read) {
      return object("key", bytes(read.prefix()), "range_end", bytes(end(read.prefix())));
    }
    if (request instanceof StoreRequest.Grant grant) {
      return object("TTL", Long.toString(grant.ttlSeconds()));
    }
    if (request instanceof StoreRequest.KeepAlive keepAlive) {
      return object("ID", Long.toString(keepAlive.leaseId()));
    }
    if (request instanceof StoreRequest.Revoke revoke) {
      return object("ID", Long.toString(revoke.leaseId()));
    }
    StoreRequest.Transaction transaction = (StoreRequest.Transaction) request;
    return object(
        "compare",
            new Json.Items(transaction.conditions().stream().map(EtcdCodec::compare).toList()),
        "success", new Json.Items(transaction.changes().stream().map(EtcdCodec::change).toList()));
  }

  private static Json compare(StoreRequest.Condition condition) {
    if (condition instanceof StoreRequest.Condition.Unchanged unchanged) {
      return object(
          "key",
          bytes(unchanged.key()),
          "target",
          "MOD",
          "result",
          "EQUAL",
          "mod_revision",
          Long.toString(unchanged.modRevision()));
    }
    if (condition instanceof StoreRequest.Condition.Exists exists) {
      return object(
          "key",
          bytes(exists.key()),
          "target",
          "CREATE",
          "result",
          "GREATER",
          "create_revision",
          "0");
    }
    return compareModified((StoreRequest.Condition.NoneModifiedAfter) condition);
  }

  private static Json compareModified(StoreRequest.Condition.NoneModifiedAfter condition) {
    return object(
        "key",
        bytes(condition.prefix()),
        "range_end",
        bytes(end(condition.prefix())),
        "target",
        "MOD",
        "result",
        "LESS",
        "mod_revision",
        Long.toString(condition.storeRevision() + 1));
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

  /**
   * Decodes the response to a request.
   *
   * @throws ProtocolException if the JSON is not a valid response
   */
  static StoreResponse response(StoreRequest request, Json json) throws ProtocolException {
    Json result = request instanceof StoreRequest.KeepAlive ? json.get("result") : json;
    Json header = result.get("header");
    if (!(header instanceof Json.Members)) {
      throw new ProtocolException("store response without header: " + JsonWriter.write(json));
    }
    List<StoreResponse.Entry> entries = new ArrayList<>();
    for (Json kv : result.get("kvs").items()) {
      entries.add(
          new StoreResponse.Entry(
              text(kv.get("key")),
              text(kv.get("value")),
              wholeNumber(kv.get("create_revision")),
              wholeNumber(kv.get("mod_revision")),
              wholeNumber(kv.get("lease"))));
    }
    return new StoreResponse.Success(
        result.get("succeeded").asText("false").equals("true"),
        header.get("cluster_id").asText(""),
        wholeNumber(header.get("revision")),
        List.copyOf(entries),
        wholeNumber(result.get("ID")),
        wholeNumber(result.get("TTL")));
  }

  private static long wholeNumber(Json json) {
    return Long.parseLong(json.asText("0"));
  }

  private static Json bytes(String text) {
    return new Json.Text(Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
  }

  private static String text(Json json) throws ProtocolException {
    try {
      return new String(Base64.getDecoder().decode(json.asText("")), StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      throw new ProtocolException("store response: not valid Base64: " + json.asText(""));
    }
  }

  /** Returns the first key after all keys with the prefix, which ends in a slash. */
  private static String end(String prefix) {
    char last = prefix.charAt(prefix.length() - 1);
    return prefix.substring(0, prefix.length() - 1) + (char) (last + 1);
  }

  private static Json object(Object... namesAndValues) {
    Map<String, Json> members = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      members.put(
          namesAndValues[i].toString(),
          namesAndValues[i + 1] instanceof Json json
              ? json
              : new Json.Text(namesAndValues[i + 1].toString()));
    }
    return new Json.Members(members);
  }
}
