package beaconturn.agreement;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * One router's view of the cache servers that it knows.
 *
 * @param usable start times from the endpoint list, by name, of the servers that get their full
 *     share of the ring
 * @param unusable status words, by name, of all other servers
 */
public record EndpointView(SortedMap<String, Long> usable, SortedMap<String, String> unusable) {
  /** Creates a view from copies of the maps. */
  public EndpointView {
    usable = Collections.unmodifiableSortedMap(new TreeMap<>(usable));
    unusable = Collections.unmodifiableSortedMap(new TreeMap<>(unusable));
  }

  /** Encodes the view for the store. */
  public String encode() {
    List<Json> in = new ArrayList<>();
    usable.forEach((name, started) -> in.add(StoredJson.object("id", name, "started", started)));
    List<Json> out = new ArrayList<>();
    unusable.forEach((name, reason) -> out.add(StoredJson.object("id", name, "why", reason)));
    return JsonWriter.write(
        StoredJson.object("in", StoredJson.list(in), "out", StoredJson.list(out)));
  }

  /**
   * Decodes a view from the store.
   *
   * @throws AgreementException if the text is invalid
   */
  public static EndpointView decode(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    SortedMap<String, Long> usable = new TreeMap<>();
    for (Json server : json.get("in").items()) {
      long started = StoredJson.wholeNumber(server, "started", 0, Long.MAX_VALUE);
      usable.put(server.get("id").asText(""), started);
    }
    SortedMap<String, String> unusable = new TreeMap<>();
    for (Json server : json.get("out").items()) {
      unusable.put(server.get("id").asText(""), server.get("why").asText(""));
    }
    return new EndpointView(usable, unusable);
  }
}
