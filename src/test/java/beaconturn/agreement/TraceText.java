package beaconturn.agreement;

import java.util.ArrayList;
import java.util.List;

/**
 * Requests, responses and effective configurations as texts that stay the same when types and
 * members are renamed, for digests of what members do.
 */
public final class TraceText {
  private TraceText() {}

  /** A request, or that there is none. */
  public static String of(StoreRequest request) {
    if (request instanceof StoreRequest.Grant grant) {
      return "grant " + grant.ttlSeconds();
    }
    if (request instanceof StoreRequest.KeepAlive keepAlive) {
      return "keep alive " + keepAlive.leaseId();
    }
    if (request instanceof StoreRequest.Revoke revoke) {
      return "revoke " + revoke.leaseId();
    }
    if (request instanceof StoreRequest.Read read) {
      return "read " + read.prefix();
    }
    if (request instanceof StoreRequest.Transaction swap) {
      List<String> texts = new ArrayList<>();
      swap.conditions().forEach(condition -> texts.add(condition(condition)));
      swap.changes().forEach(change -> texts.add(change(change)));
      return "swap " + texts;
    }
    return "nothing";
  }

  private static String condition(StoreRequest.Condition condition) {
    if (condition instanceof StoreRequest.Condition.Unchanged unchanged) {
      return "unchanged " + unchanged.key() + " " + unchanged.modRevision();
    }
    if (condition instanceof StoreRequest.Condition.NoneModifiedAfter noneAfter) {
      return "none after " + noneAfter.prefix() + " " + noneAfter.storeRevision();
    }
    return "stands " + ((StoreRequest.Condition.Exists) condition).key();
  }

  private static String change(StoreRequest.Change change) {
    if (change instanceof StoreRequest.Change.Put put) {
      return "put " + put.key() + " " + put.value() + " " + put.leaseId();
    }
    return "delete " + ((StoreRequest.Change.Delete) change).key();
  }

  /** A response, but for what was read. */
  public static String of(StoreResponse response) {
    if (response instanceof StoreResponse.Success given) {
      return given.conditionsHeld()
          + " "
          + given.clusterId()
          + " "
          + given.storeRevision()
          + " "
          + given.entries().size()
          + " "
          + given.leaseId()
          + " "
          + given.leaseTtlSeconds();
    }
    return response instanceof StoreResponse.RequestFailed failed
        ? "failure " + failed.reason()
        : "nothing";
  }

  /** An effective configuration. */
  public static String of(EffectiveConfig config) {
    return config.leaseEndNanos()
        + " "
        + config.whileLeasedDescription()
        + " "
        + ConfigCodec.contentJson(config.whileLeased())
        + " "
        + config.afterLeaseDescription()
        + " "
        + ConfigCodec.contentJson(config.afterLease());
  }
}
