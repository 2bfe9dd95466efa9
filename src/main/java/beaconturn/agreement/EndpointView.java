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
 * @param usable those that take what the ring gives them, and when they started, as the list has it
 * @param unusable the others, each with what keeps it out
 */
public record EndpointView(SortedMap<String, Long> usable, SortedMap<String, String> unusable) {
  /** A sight of its own. */
  public EndpointView {
    usable = Collections.unmodifiableSortedMap(new TreeMap<>(usable));
    unusable = Collections.unmodifiableSortedMap(new TreeMap<>(unusable));
  }

  /** As it stands in the store. */
  public String encode() {
    List<Json> used = new ArrayList<>();
    usable.forEach((id, started) -> used.add(StoredJson.object("id", id, "started", started)));
    List<Json> others = new ArrayList<>();
    unusable.forEach((id, why) -> others.add(StoredJson.object("id", id, "why", why)));
    return JsonWriter.write(
        StoredJson.object("in", StoredJson.list(used), "out", StoredJson.list(others)));
  }

  /** Of a text in the store. */
  public static EndpointView decode(String encode) throws AgreementException {
    Json json = StoredJson.parse(encode);
    SortedMap<String, Long> usable = new TreeMap<>();
    for (Json one : json.get("in").items()) {
      usable.put(one.get("id").word(""), StoredJson.wholeNumber(one, "started", 0, Long.MAX_VALUE));
    }
    SortedMap<String, String> unusable = new TreeMap<>();
    json.get("out").items().forEach(o -> unusable.put(o.get("id").word(""), o.get("why").word("")));
    return new EndpointView(usable, unusable);
  }
}
