package beaconturn.net.control;

/**
 * A parsed command of the admin address.
 *
 * @param verb the operation
 * @param serverId id of the cache server that it applies to, or null if the verb takes none
 */
record AdminCommand(Verb verb, String serverId) {
  private static final int MAX_ID_CHARS = 128;

  /** The commands of the admin address. */
  enum Verb {
    READY("ready", false),
    SHOW_METRICS("show-stat", false),
    SHOW_HEALTH("show-health", false),
    DISABLE_SERVER("disable-server", true),
    ENABLE_SERVER("enable-server", true);

    private final String word;
    private final boolean needsServerId;

    Verb(String word, boolean needsServerId) {
      this.word = word;
      this.needsServerId = needsServerId;
    }

    private static Verb of(String word) throws InvalidAdminCommandException {
      for (Verb verb : values()) {
        if (verb.word.equals(word)) {
          return verb;
        }
      }
      throw new InvalidAdminCommandException("no such call");
    }
  }

  /**
   * Parses a line, given without its line terminator.
   *
   * @throws InvalidAdminCommandException if the line is not a valid command
   */
  static AdminCommand of(String line) throws InvalidAdminCommandException {
    String[] words = line.strip().split("[ \t]+");
    Verb verb = Verb.of(words[0]);
    int wordCount = verb.needsServerId ? 2 : 1;
    if (words.length < wordCount) {
      throw new InvalidAdminCommandException("an id is missing");
    }
    if (words.length > wordCount) {
      throw new InvalidAdminCommandException("more words than the call takes");
    }
    if (!verb.needsServerId) {
      return new AdminCommand(verb, null);
    }
    if (!words[1].matches("[!-~]{1," + MAX_ID_CHARS + "}")) {
      throw new InvalidAdminCommandException("the id is too long or of odd characters");
    }
    return new AdminCommand(verb, words[1]);
  }
}
