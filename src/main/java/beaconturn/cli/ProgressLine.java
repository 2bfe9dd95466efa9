package beaconturn.cli;

import java.io.PrintStream;

/** Shows the progress of a long operation in one line of a terminal; silent without a terminal. */
final class ProgressLine {
  private static final int WIDTH_CHARACTERS = 100;
  private final PrintStream out;
  private final boolean isTerminal = System.console() != null;
  private boolean shown;

  ProgressLine(PrintStream out) {
    this.out = out;
  }

  void show(String text) {
    if (isTerminal) {
      String line = text.length() > WIDTH_CHARACTERS ? text.substring(0, WIDTH_CHARACTERS) : text;
      out.print("\r" + line + " ".repeat(WIDTH_CHARACTERS - line.length()) + "\r");
      out.flush();
      shown = true;
    }
  }

  void clear() {
    if (shown) {
      out.print("\r" + " ".repeat(WIDTH_CHARACTERS) + "\r");
      out.flush();
      shown = false;
    }
  }
}
