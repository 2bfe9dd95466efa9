package beaconturn.net;

import beaconturn.protocol.Json;
import java.util.List;

/**
 * Compares the keys and value types of two configuration files. Guards against a truncated or
 * half-edited file: missing keys would silently be replaced by their defaults.
 *
 * <p>The items of an array may differ in their keys, as some keys may be absent. What all earlier
 * items have in common is required of each item now, so that an unchanged file lacks nothing.
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
    return firstMissing("", List.of(earlier), now);
  }

  /** Compares a value with what all earlier values in its place, at least one, have in common. */
  private static String firstMissing(String path, List<Json> earlier, Json now) {
    Class<?> type = earlier.get(0).getClass();
    if (!earlier.stream().allMatch(type::isInstance)) {
      return null;
    }
    if (!type.isInstance(now)) {
      return path;
    }
    return now instanceof Json.Members
        ? firstMissingMember(path, earlier, now)
        : firstMissingItem(path, earlier, now);
  }

  private static String firstMissingMember(String path, List<Json> earlier, Json now) {
    for (String name : ((Json.Members) earlier.get(0)).values().keySet()) {
      String memberPath = path.isEmpty() ? name : path + "." + name;
      boolean required =
          !memberPath.equals(ENDPOINT_LIST)
              && earlier.stream().allMatch(value -> hasMember(value, name));
      String missing =
          required
              ? firstMissing(
                  memberPath,
                  earlier.stream().map(value -> value.get(name)).toList(),
                  now.get(name))
              : null;
      if (missing != null) {
        return missing;
      }
    }
    return null;
  }

  private static boolean hasMember(Json value, String name) {
    return ((Json.Members) value).values().containsKey(name);
  }

  private static String firstMissingItem(String path, List<Json> earlier, Json now) {
    List<Json> earlierItems = earlier.stream().flatMap(value -> value.items().stream()).toList();
    for (int i = 0; i < now.items().size() && !earlierItems.isEmpty(); i++) {
      String missing = firstMissing(path + "." + i, earlierItems, now.items().get(i));
      if (missing != null) {
        return missing;
      }
    }
    return null;
  }
}
