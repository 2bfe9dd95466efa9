package beaconturn.net;

import beaconturn.protocol.Json;
import java.util.List;
import java.util.Map;

/**
 * Compares the keys and value types of two configuration files. Guards against a truncated or
 * half-edited file: missing keys would silently be replaced by their defaults.
 */
final class ConfigShape {
  /** The endpoint list, which changes all the time and is not compared. */
  private static final String ENDPOINT_LIST = "known";

  private ConfigShape() {}

  /**
   * Returns the path of the first key that is missing now or has another type, or null if there is
   * none.
   */
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

  /** Each item must have the keys of the first earlier item. */
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
