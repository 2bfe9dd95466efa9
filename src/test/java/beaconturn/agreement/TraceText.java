package beaconturn.agreement;

import java.util.ArrayList;
import java.util.List;

/**
 * Formats requests, responses and effective configurations for trace digests. The texts do not
 * depend on the names of types and members.
 */
public final class TraceText {
  private TraceText() {}

  /** Formats a request; null stands for no request. */
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
    if (request instanceof StoreRequest.Transaction transaction) {
      List<String> texts = new ArrayList<>();
      transaction.conditions().forEach(condition -> texts.add(condition(condition)));
      transaction.changes().forEach(change -> texts.add(change(change)));
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

  /** Formats a response without the contents of its entries. */
  public static String of(StoreResponse response) {
    if (response instanceof StoreResponse.Success success) {
      return success.conditionsHeld()
          + " "
          + success.clusterId()
          + " "
          + success.storeRevision()
          + " "
          + success.entries().size()
          + " "
          + success.leaseId()
          + " "
          + success.leaseTtlSeconds();
    }
    return response instanceof StoreResponse.RequestFailed failed
        ? "failure " + failed.reason()
        : "nothing";
  }

  /** Formats an effective configuration. */
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
