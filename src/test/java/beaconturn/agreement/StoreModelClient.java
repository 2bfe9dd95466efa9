package beaconturn.agreement;

import beaconturn.standin.store.StoreModel;
import java.util.ArrayList;
import java.util.List;

/** Calls of deciders, answered by the store's model at once. */
public final class StoreModelClient {
  private StoreModelClient() {}

  /** What the store answers to the call. */
  public static StoreResponse of(StoreModel store, StoreRequest call) {
    boolean held = false;
    long lease = 0;
    long seconds = 0;
    List<StoreResponse.Pair> pairs = new ArrayList<>();
    if (call instanceof StoreRequest.Read read) {
      store
          .range(read.prefix(), end(read.prefix()))
          .forEach(
              p ->
                  pairs.add(
                      new StoreResponse.Pair(
                          p.key(), p.value(), p.made(), p.changed(), p.lease())));
    } else if (call instanceof StoreRequest.Grant grant) {
      lease = store.grant(grant.seconds());
      seconds = grant.seconds();
    } else if (call instanceof StoreRequest.KeepAlive alive) {
      seconds = store.keepAlive(alive.lease());
    } else if (call instanceof StoreRequest.Revoke revoke) {
      store.revoke(revoke.lease());
    } else if (call instanceof StoreRequest.Swap swap) {
      try {
        held =
            store.swap(
                swap.conditions().stream().map(StoreModelClient::compare).toList(),
                swap.changes().stream().map(StoreModelClient::change).toList());
      } catch (IllegalArgumentException e) {
        return new StoreResponse.Failed(e.getMessage());
      }
    }
    return new StoreResponse.Given(
        held, Long.toString(store.cluster()), store.revision(), pairs, lease, seconds);
  }

  private static StoreModel.Compare compare(StoreRequest.Condition c) {
    if (c instanceof StoreRequest.Condition.Unchanged u) {
      return new StoreModel.Compare(
          u.key(), "", StoreModel.Target.MOD, StoreModel.Result.EQUAL, u.revision());
    }
    if (c instanceof StoreRequest.Condition.Stands s) {
      return new StoreModel.Compare(
          s.key(), "", StoreModel.Target.CREATE, StoreModel.Result.GREATER, 0);
    }
    StoreRequest.Condition.NoneAfter n = (StoreRequest.Condition.NoneAfter) c;
    return new StoreModel.Compare(
        n.prefix(),
        end(n.prefix()),
        StoreModel.Target.MOD,
        StoreModel.Result.LESS,
        n.revision() + 1);
  }

  private static StoreModel.Change change(StoreRequest.Change c) {
    return c instanceof StoreRequest.Change.Put put
        ? new StoreModel.Change(put.key(), "", put.value(), put.lease())
        : new StoreModel.Change(((StoreRequest.Change.Delete) c).key(), "", null, 0);
  }

  /** Behind all keys that begin so. */
  private static String end(String prefix) {
    int last = prefix.length() - 1;
    return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
  }
}
