package beaconturn.decision;

import java.util.ArrayList;
import java.util.List;

/** One fetch of a key from the origin, and the requests that wait for it. */
final class OriginFetch {
  final List<RequestState> waiting = new ArrayList<>();
}
