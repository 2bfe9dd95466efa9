package beaconturn.agreement;

import beaconturn.standin.store.StoreModel;
import java.util.ArrayList;
import java.util.List;

/** Serves store requests synchronously from the store model. */
public final class StoreModelClient {
  private StoreModelClient() {}

  /** Returns the store's response to the request. */
  public static StoreResponse of(StoreModel store, StoreRequest request) {
    boolean conditionsHeld = false;
    long leaseId = 0;
    long ttlSeconds = 0;
    List<StoreResponse.Entry> entries = new ArrayList<>();
    if (request instanceof StoreRequest.Read read) {
      store
          .range(read.prefix(), end(read.prefix()))
          .forEach(
              p ->
                  entries.add(
                      new StoreResponse.Entry(
                          p.key(), p.value(), p.createRevision(), p.modRevision(), p.lease())));
    } else if (request instanceof StoreRequest.Grant grant) {
      leaseId = store.grant(grant.ttlSeconds());
      ttlSeconds = grant.ttlSeconds();
    } else if (request instanceof StoreRequest.KeepAlive keepAlive) {
      ttlSeconds = store.keepAlive(keepAlive.leaseId());
    } else if (request instanceof StoreRequest.Revoke revoke) {
      store.revoke(revoke.leaseId());
    } else if (request instanceof StoreRequest.Transaction transaction) {
      try {
        conditionsHeld =
            store.transact(
                transaction.conditions().stream().map(StoreModelClient::compare).toList(),
                transaction.changes().stream().map(StoreModelClient::change).toList());
      } catch (IllegalArgumentException e) {
        return new StoreResponse.RequestFailed(e.getMessage());
      }
    }
    return new StoreResponse.Success(
        conditionsHeld,
        Long.toString(store.clusterId()),
        store.revision(),
        entries,
        leaseId,
        ttlSeconds);
  }

  private static StoreModel.Condition compare(StoreRequest.Condition condition) {
    if (condition instanceof StoreRequest.Condition.Unchanged unchanged) {
      return new StoreModel.Condition(
          unchanged.key(),
          "",
          StoreModel.Target.MOD,
          StoreModel.Result.EQUAL,
          unchanged.modRevision());
    }
    if (condition instanceof StoreRequest.Condition.Exists exists) {
      return new StoreModel.Condition(
          exists.key(), "", StoreModel.Target.CREATE, StoreModel.Result.GREATER, 0);
    }
    StoreRequest.Condition.NoneModifiedAfter noneAfter =
        (StoreRequest.Condition.NoneModifiedAfter) condition;
    return new StoreModel.Condition(
        noneAfter.prefix(),
        end(noneAfter.prefix()),
        StoreModel.Target.MOD,
        StoreModel.Result.LESS,
        noneAfter.storeRevision() + 1);
  }

  private static StoreModel.ModelChange change(StoreRequest.Change change) {
    return change instanceof StoreRequest.Change.Put put
        ? new StoreModel.ModelChange(put.key(), "", put.value(), put.leaseId())
        : new StoreModel.ModelChange(((StoreRequest.Change.Delete) change).key(), "", null, 0);
  }

  /** Returns the first key after all keys with the prefix. */
  private static String end(String prefix) {
    int last = prefix.length() - 1;
    return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
  }
}
