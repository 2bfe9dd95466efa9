package beaconturn.decision;

import java.util.ArrayList;
import java.util.List;

/** One fetch of a key from the origin, and the requests for that key that wait for it. */
final class OriginFetch {
  private final List<RequestState> waiting = new ArrayList<>();

  List<RequestState> waiting() {
    return waiting;
  }
}
