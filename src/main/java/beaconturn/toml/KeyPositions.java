package beaconturn.toml;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The line numbers of keys in a TOML text, which the TOML parser does not provide. */
final class KeyPositions {
  private static final Pattern TABLE = Pattern.compile("\\s*\\[\\s*([^\\[\\]]+?)\\s*]\\s*(#.*)?");
  private static final Pattern TABLE_ARRAY_ITEM =
      Pattern.compile("\\s*\\[\\[\\s*([^\\[\\]]+?)\\s*]]\\s*(#.*)?");
  private static final Pattern KEY = Pattern.compile("\\s*([A-Za-z0-9_.\\-\"']+)\\s*=.*");
  private final Map<String, Integer> lineByPath = new HashMap<>();
  private final Map<String, Integer> itemCounts = new HashMap<>();

  KeyPositions(String text) {
    String table = "";
    int lineNumber = 0;
    for (String line : text.split("\n", -1)) {
      lineNumber++;
      Matcher item = TABLE_ARRAY_ITEM.matcher(line);
      Matcher header = TABLE.matcher(line);
      Matcher key = KEY.matcher(line);
      if (item.matches()) {
        int index = itemCounts.merge(item.group(1), 1, Integer::sum) - 1;
        table = item.group(1) + "[" + index + "]";
        lineByPath.putIfAbsent(item.group(1), lineNumber);
        lineByPath.put(table, lineNumber);
      } else if (header.matches()) {
        table = header.group(1);
        lineByPath.putIfAbsent(table, lineNumber);
      } else if (key.matches()) {
        String name = key.group(1).replaceAll("[\"']", "");
        lineByPath.putIfAbsent(table.isEmpty() ? name : table + "." + name, lineNumber);
      }
    }
  }

  /** Returns the line of the key or of its nearest enclosing table; 1 if neither has one. */
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
