package beaconturn.history;

/** No more commands for a request than the most allowed. */
final class AttemptLimit extends Invariant {
  AttemptLimit() {
    super("attempts", "no more attempts for a request than allowed");
  }

  @Override
  void judge(HistoryIndex evidence) {
    int most = evidence.terms().mostTries();
    for (HistoryIndex.Case one : evidence.cases()) {
      int tries = one.sends().size();
      if (tries > 0) {
        check(
            tries <= most,
            one.sends().get(tries - 1).at(),
            one.id(),
            "",
            tries + " attempts where " + most + " are allowed");
      }
    }
  }
}
