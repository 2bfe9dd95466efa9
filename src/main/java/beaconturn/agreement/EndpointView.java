package beaconturn.agreement;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What one router makes of the cache servers that it knows.
 *
 * @param in those that take what the ring gives them, and when they started, as the list has it
 * @param out the others, each with what keeps it out
 */
public record EndpointView(SortedMap<String, Long> in, SortedMap<String, String> out) {
  /** A sight of its own. */
  public EndpointView {
    in = Collections.unmodifiableSortedMap(new TreeMap<>(in));
    out = Collections.unmodifiableSortedMap(new TreeMap<>(out));
  }

  /** As it stands in the store. */
  public String text() {
    List<Json> used = new ArrayList<>();
    in.forEach((id, started) -> used.add(ConfigCodec.object("id", id, "started", started)));
    List<Json> others = new ArrayList<>();
    out.forEach((id, why) -> others.add(ConfigCodec.object("id", id, "why", why)));
    return JsonWriter.write(
        ConfigCodec.object("in", ConfigCodec.list(used), "out", ConfigCodec.list(others)));
  }

  /** Of a text in the store. */
  public static EndpointView of(String text) throws AgreementException {
    Json json = ConfigCodec.parse(text);
    SortedMap<String, Long> in = new TreeMap<>();
    for (Json one : json.get("in").items()) {
      in.put(one.get("id").word(""), ConfigCodec.whole(one, "started", 0, Long.MAX_VALUE));
    }
    SortedMap<String, String> out = new TreeMap<>();
    json.get("out").items().forEach(o -> out.put(o.get("id").word(""), o.get("why").word("")));
    return new EndpointView(in, out);
  }
}
