package beaconturn.toml;

import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parsers of durations and sizes with units, as operators write them in files and commands. */
public final class Units {
  private static final Pattern TIME = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*(us|ms|s|min|h)");
  private static final Pattern SIZE = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*(B|KB|MB|GB)");

  private Units() {}

  /** Returns the nanoseconds of a duration such as "1.5s" or "300ms"; nothing where it is none. */
  public static OptionalLong parseDuration(String text) {
    Matcher m = TIME.matcher(text.trim());
    if (!m.matches()) {
      return OptionalLong.empty();
    }
    double unit =
        switch (m.group(2)) {
          case "us" -> 1e3;
          case "ms" -> 1e6;
          case "s" -> 1e9;
          case "min" -> 60e9;
          default -> 3600e9;
        };
    return OptionalLong.of(Math.round(Double.parseDouble(m.group(1)) * unit));
  }

  /** Returns the bytes of a size such as "64MB"; nothing where it is none. */
  public static OptionalLong parseSize(String text) {
    Matcher m = SIZE.matcher(text.trim());
    if (!m.matches()) {
      return OptionalLong.empty();
    }
    int power = List.of("B", "KB", "MB", "GB").indexOf(m.group(2));
    return OptionalLong.of(Math.round(Double.parseDouble(m.group(1)) * Math.pow(1024, power)));
  }
}
