package beaconturn.cli;

import java.io.PrintStream;

/**
 * One line on a terminal that tells how far something long has come; nothing where there is no
 * terminal.
 */
final class ProgressLine {
  private static final int WIDTH = 100;
  private final PrintStream out;
  private final boolean terminal = System.console() != null;
  private boolean shown;

  ProgressLine(PrintStream out) {
    this.out = out;
  }

  void say(String text) {
    if (terminal) {
      String line = text.length() > WIDTH ? text.substring(0, WIDTH) : text;
      out.print("\r" + line + " ".repeat(WIDTH - line.length()) + "\r");
      out.flush();
      shown = true;
    }
  }

  void clear() {
    if (shown) {
      out.print("\r" + " ".repeat(WIDTH) + "\r");
      out.flush();
      shown = false;
    }
  }
}
