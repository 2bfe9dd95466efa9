import java.util.List;
import java.util.stream.Collectors;

/** Configurations like those of a small deployment, with the figures of its site file. */
final class Settings2 {
  private Settings2() {}

  static String clazz(
      String name, String effect, String scope, long windowMs, long targetMs, long deadlineMs, double worth) {
    return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"key_scope\":\"" + scope
        + "\",\"window\":" + windowMs * 1_000_000 + ",\"target\":" + targetMs * 1_000_000
        + ",\"hard_limit\":" + deadlineMs * 1_000_000 + ",\"worth\":" + worth
        + ",\"late_worth\":0.0,\"stream\":false}";
  }

  /** bucuresti-nivele: lists are asked for. */
  static String nivele(int port, Kit2.Discovery discovery, int routers, String known, int index) {
    String classes =
        String.join(
            ",",
            clazz("level-now", "read_like", "all", 0, 600, 1500, 1),
            clazz("level-series", "read_like", "all", 0, 1200, 2500, 2),
            clazz("alert-ack", "non_idempotent", "all", 0, 750, 1500, 5),
            clazz("manual-reading", "idempotency_key", "all", 3000, 1500, 5000, 5));
    return config(
        port, discovery, known, index, routers, "[\"buc-1\",\"buc-2\"]", "[\"fast\",\"std\"]", "ask", classes,
        "\"second_copies\":true,\"most_tries\":5,\"max_retry_after\":2000000000,\"multiplex\":32,"
            + "\"dial_timeout\":250000000,\"conn_idle\":5000000000",
        "\"answer_slack\":20000000,\"ask_within\":10000000000,\"cold_share\":0.17,\"cold\":23000000000,"
            + "\"drain_grace\":500000000,\"fall_multiple\":4.0,\"overload_for\":1000000000");
  }

  /** mountain-passes (deploy/sites): lists are pushed. */
  static String passes(int port, Kit2.Discovery discovery, int routers, String known, int index) {
    String classes =
        String.join(
            ",",
            clazz("snow-depth", "read_like", "all", 0, 800, 1800, 1),
            clazz("road-camera", "read_like", "all", 0, 1500, 2800, 3),
            clazz("gate-close", "non_idempotent", "all", 0, 900, 2000, 6),
            clazz("plough-report", "idempotency_key", "zone", 4000, 1400, 3000, 2),
            clazz("avalanche-note", "idempotency_key", "cell", 3000, 1200, 2500, 5));
    return config(
        port, discovery, known, index, routers, "[\"ridge-1\",\"ridge-2\"]", "[\"blade\",\"std\"]", "push", classes,
        "\"second_copies\":true,\"most_tries\":3,\"max_retry_after\":1500000000,\"multiplex\":32,"
            + "\"dial_timeout\":200000000,\"conn_idle\":6000000000",
        "\"answer_slack\":20000000,\"ask_within\":10000000000,\"cold_share\":0.17,\"cold\":20000000000,"
            + "\"drain_grace\":600000000,\"fall_multiple\":3.0,\"overload_for\":900000000");
  }

  /** balancing-main: lists are asked for; cache servers read through, as on sockets. */
  static String balancing(int port, Kit2.Discovery discovery, int routers, String known, int index) {
    String classes =
        String.join(
            ",",
            clazz("price-read", "read_like", "all", 0, 800, 2500, 3),
            clazz("status-set", "read_like", "all", 0, 750, 3000, 2),
            clazz("bid-submit", "idempotency_key", "all", 6000, 1500, 3000, 2));
    return config(
        port, discovery, known, index, routers, "[\"dc-main\"]", "[\"fast-1c\",\"std\"]", "ask", classes,
        "\"second_copies\":false,\"most_tries\":3,\"max_retry_after\":2000000000,\"multiplex\":1,"
            + "\"dial_timeout\":250000000,\"conn_idle\":10000000000",
        "\"answer_slack\":20000000,\"ask_within\":10000000000,\"cold_share\":0.12,\"cold\":24000000000,"
            + "\"drain_grace\":2500000000,\"fall_multiple\":3.0,\"overload_for\":2000000000");
  }

  private static String config(
      int port,
      Kit2.Discovery discovery,
      String known,
      int index,
      int routers,
      String zones,
      String kinds,
      String mode,
      String classes,
      String permissions,
      String rules) {
    return "{\"name\":\"n" + index + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
        + discovery.address() + "\",\"seed\":\"8c1f30d27a5be96" + index
        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known
        + ",\"settings\":{\"index\":" + index + ",\"replicas_of_me\":" + routers
        + ",\"zone\":0,\"dcs\":" + zones + ",\"flavors\":" + kinds + ",\"discovery\":\"" + mode
        + "\",\"counted_by\":\"request\",\"over_share_worth\":1.0,\"weights\":\"none\",\"tick\":5000000,"
        + "\"tenants\":[],\"classes\":[" + classes
        + "],\"family_info\":{\"mode\":\"through\",\"ordered\":true,\"origin_kind\":-1,"
        + "\"notes\":\"1_hit__2_miss\",\"origin_fall\":3000000000,\"origin_fall_multiple\":2.5},"
        + "\"load_report\":{\"how\":\"none\",\"names\":[]},\"permissions\":{\"cancel\":true,\"peers\":false,"
        + "\"probes\":false,\"retry_after\":true," + permissions + "},\"rules\":{" + rules + "}}}";
  }

  static String list(long seq, List<Kit2.Host> hosts) {
    return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":["
        + hosts.stream().map(Kit2.Host::json).collect(Collectors.joining(",")) + "]}";
  }
}
