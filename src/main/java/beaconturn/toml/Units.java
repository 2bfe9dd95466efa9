package beaconturn.toml;

import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations and sizes with units, as used in operators' files and commands. */
public final class Units {
  private static final Pattern DURATION =
      Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*(us|ms|s|min|h)");
  private static final Pattern SIZE = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*(B|KB|MB|GB)");

  private Units() {}

  /** Returns the nanoseconds of a duration such as "1.5s" or "300ms"; empty if it is malformed. */
  public static OptionalLong parseDuration(String text) {
    Matcher matcher = DURATION.matcher(text.trim());
    if (!matcher.matches()) {
      return OptionalLong.empty();
    }
    double unitNanos =
        switch (matcher.group(2)) {
          case "us" -> 1e3;
          case "ms" -> 1e6;
          case "s" -> 1e9;
          case "min" -> 60e9;
          default -> 3600e9;
        };
    return OptionalLong.of(Math.round(Double.parseDouble(matcher.group(1)) * unitNanos));
  }

  /** Returns the bytes of a size such as "64MB"; empty if it is malformed. */
  public static OptionalLong parseSize(String text) {
    Matcher matcher = SIZE.matcher(text.trim());
    if (!matcher.matches()) {
      return OptionalLong.empty();
    }
    int exponent = List.of("B", "KB", "MB", "GB").indexOf(matcher.group(2));
    return OptionalLong.of(
        Math.round(Double.parseDouble(matcher.group(1)) * StrictMath.pow(1024, exponent)));
  }
}
