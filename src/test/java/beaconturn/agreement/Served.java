package beaconturn.agreement;

import beaconturn.standin.store.StoreModel;
import java.util.ArrayList;
import java.util.List;

/** Calls of deciders, answered by the store's model at once. */
public final class Served {
  private Served() {}

  /** What the store answers to the call. */
  public static Answer of(StoreModel store, Call call) {
    boolean held = false;
    long lease = 0;
    long seconds = 0;
    List<Answer.Pair> pairs = new ArrayList<>();
    if (call instanceof Call.Read read) {
      store
          .range(read.prefix(), end(read.prefix()))
          .forEach(
              p ->
                  pairs.add(new Answer.Pair(p.key(), p.value(), p.made(), p.changed(), p.lease())));
    } else if (call instanceof Call.Grant grant) {
      lease = store.grant(grant.seconds());
      seconds = grant.seconds();
    } else if (call instanceof Call.KeepAlive alive) {
      seconds = store.keepAlive(alive.lease());
    } else if (call instanceof Call.Revoke revoke) {
      store.revoke(revoke.lease());
    } else if (call instanceof Call.Swap swap) {
      try {
        held =
            store.swap(
                swap.conditions().stream().map(Served::compare).toList(),
                swap.changes().stream().map(Served::change).toList());
      } catch (IllegalArgumentException e) {
        return new Answer.Failed(e.getMessage());
      }
    }
    return new Answer.Given(
        held, Long.toString(store.cluster()), store.revision(), pairs, lease, seconds);
  }

  private static StoreModel.Compare compare(Call.Condition c) {
    if (c instanceof Call.Condition.Unchanged u) {
      return new StoreModel.Compare(
          u.key(), "", StoreModel.Target.MOD, StoreModel.Result.EQUAL, u.revision());
    }
    if (c instanceof Call.Condition.Stands s) {
      return new StoreModel.Compare(
          s.key(), "", StoreModel.Target.CREATE, StoreModel.Result.GREATER, 0);
    }
    Call.Condition.NoneAfter n = (Call.Condition.NoneAfter) c;
    return new StoreModel.Compare(
        n.prefix(),
        end(n.prefix()),
        StoreModel.Target.MOD,
        StoreModel.Result.LESS,
        n.revision() + 1);
  }

  private static StoreModel.Change change(Call.Change c) {
    return c instanceof Call.Change.Put put
        ? new StoreModel.Change(put.key(), "", put.value(), put.lease())
        : new StoreModel.Change(((Call.Change.Delete) c).key(), "", null, 0);
  }

  /** Behind all keys that begin so. */
  private static String end(String prefix) {
    int last = prefix.length() - 1;
    return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
  }
}
