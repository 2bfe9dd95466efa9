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
public record Sight(SortedMap<String, Long> in, SortedMap<String, String> out) {
  /** A sight of its own. */
  public Sight {
    in = Collections.unmodifiableSortedMap(new TreeMap<>(in));
    out = Collections.unmodifiableSortedMap(new TreeMap<>(out));
  }

  /** As it stands in the store. */
  public String text() {
    List<Json> used = new ArrayList<>();
    in.forEach((id, started) -> used.add(Texts.object("id", id, "started", started)));
    List<Json> others = new ArrayList<>();
    out.forEach((id, why) -> others.add(Texts.object("id", id, "why", why)));
    return JsonWriter.write(Texts.object("in", Texts.list(used), "out", Texts.list(others)));
  }

  /** Of a text in the store. */
  public static Sight of(String text) throws AgreementException {
    Json json = Texts.parse(text);
    SortedMap<String, Long> in = new TreeMap<>();
    for (Json one : json.get("in").items()) {
      in.put(one.get("id").word(""), Texts.whole(one, "started", 0, Long.MAX_VALUE));
    }
    SortedMap<String, String> out = new TreeMap<>();
    json.get("out").items().forEach(o -> out.put(o.get("id").word(""), o.get("why").word("")));
    return new Sight(in, out);
  }
}
