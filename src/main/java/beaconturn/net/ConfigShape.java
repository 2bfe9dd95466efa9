package beaconturn.net;

import beaconturn.protocol.Json;
import java.util.List;
import java.util.Map;

/**
 * Compares which keys two configuration files have, and of which types their values are. A file
 * that is cut or half edited must not pass for one that leaves out on purpose what has a default: a
 * router would go on under defaults that nobody chose.
 */
final class ConfigShape {
  /** The endpoint list, which changes all the time. */
  private static final String ENDPOINT_LIST = "known";

  private ConfigShape() {}

  /** The path of the first key that is missing or of another type now, or null. */
  static String firstMissing(Json earlier, Json now) {
    return firstMissing("", earlier, now);
  }

  private static String firstMissing(String path, Json earlier, Json now) {
    if (!now.getClass().equals(earlier.getClass())) {
      return path;
    }
    if (earlier instanceof Json.Members members) {
      return firstMissingMember(path, members, now);
    }
    if (!earlier.items().isEmpty()) {
      return firstMissingItem(path, earlier.items().get(0), now.items());
    }
    return null;
  }

  private static String firstMissingMember(String path, Json.Members earlier, Json now) {
    for (Map.Entry<String, Json> member : earlier.values().entrySet()) {
      String name = member.getKey();
      String memberPath = path.isEmpty() ? name : path + "." + name;
      if (memberPath.equals(ENDPOINT_LIST)) {
        continue;
      }
      String missing = firstMissing(memberPath, member.getValue(), now.get(name));
      if (missing != null) {
        return missing;
      }
    }
    return null;
  }

  /** Each item must have what the first one had. */
  private static String firstMissingItem(String path, Json earlierItem, List<Json> now) {
    for (int i = 0; i < now.size(); i++) {
      String missing = firstMissing(path + "." + i, earlierItem, now.get(i));
      if (missing != null) {
        return missing;
      }
    }
    return null;
  }
}
