package beaconturn.toml;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Line numbers of the keys of a TOML text, which the parser does not keep. */
final class KeyPositions {
  private static final Pattern TABLE = Pattern.compile("\\s*\\[\\s*([^\\[\\]]+?)\\s*]\\s*(#.*)?");
  private static final Pattern ITEM =
      Pattern.compile("\\s*\\[\\[\\s*([^\\[\\]]+?)\\s*]]\\s*(#.*)?");
  private static final Pattern KEY = Pattern.compile("\\s*([A-Za-z0-9_.\\-\"']+)\\s*=.*");
  private final Map<String, Integer> lineByPath = new HashMap<>();
  private final Map<String, Integer> itemCounts = new HashMap<>();

  KeyPositions(String text) {
    String table = "";
    int number = 0;
    for (String line : text.split("\n", -1)) {
      number++;
      Matcher item = ITEM.matcher(line);
      Matcher head = TABLE.matcher(line);
      Matcher key = KEY.matcher(line);
      if (item.matches()) {
        int index = itemCounts.merge(item.group(1), 1, Integer::sum) - 1;
        table = item.group(1) + "[" + index + "]";
        lineByPath.putIfAbsent(item.group(1), number);
        lineByPath.put(table, number);
      } else if (head.matches()) {
        table = head.group(1);
        lineByPath.putIfAbsent(table, number);
      } else if (key.matches()) {
        String name = key.group(1).replaceAll("[\"']", "");
        lineByPath.putIfAbsent(table.isEmpty() ? name : table + "." + name, number);
      }
    }
  }

  /** Returns the line of the key, or of the nearest enclosing table that has one; 1 at least. */
  int lineOf(String path) {
    String at = path;
    while (!at.isEmpty()) {
      Integer line = lineByPath.get(at);
      if (line != null) {
        return line;
      }
      int end = Math.max(at.lastIndexOf('.'), at.lastIndexOf('['));
      at = at.substring(0, Math.max(0, end));
    }
    return 1;
  }
}
