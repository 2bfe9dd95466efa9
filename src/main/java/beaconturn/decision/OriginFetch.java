package beaconturn.decision;

import java.util.ArrayList;
import java.util.List;

/** A fetch of one key from the origin, with the requests that wait for it. */
final class OriginFetch {
  private final List<RequestState> waiting = new ArrayList<>();

  List<RequestState> waiting() {
    return waiting;
  }
}
