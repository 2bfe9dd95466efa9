package beaconturn.net.control;

/** One line of a caller, understood: the name of the call, and the id that it needs or null. */
record AdminCommand(String name, String id) {
  static final String READY = "ready";
  static final String FIGURES = "show-stat";
  static final String HEALTH = "show-health";
  static final String OUT = "disable-server";
  static final String BACK = "enable-server";
  private static final int LONGEST_ID = 128;

  /** What is no call; the message is the reason in a few words. */
  static final class Wrong extends Exception {
    private static final long serialVersionUID = 1L;

    Wrong(String reason) {
      super(reason);
    }
  }

  /** The call that a line makes; the line's end is not part of it. */
  static AdminCommand of(String line) throws Wrong {
    String[] words = line.strip().split("[ \t]+");
    boolean needsId = words[0].equals(OUT) || words[0].equals(BACK);
    if (!needsId
        && !words[0].equals(READY)
        && !words[0].equals(FIGURES)
        && !words[0].equals(HEALTH)) {
      throw new Wrong("no such call");
    }
    if (words.length < (needsId ? 2 : 1)) {
      throw new Wrong("an id is missing");
    }
    if (words.length > (needsId ? 2 : 1)) {
      throw new Wrong("more words than the call takes");
    }
    if (needsId && !words[1].matches("[!-~]{1," + LONGEST_ID + "}")) {
      throw new Wrong("the id is too long or of odd characters");
    }
    return new AdminCommand(words[0], needsId ? words[1] : null);
  }
}
