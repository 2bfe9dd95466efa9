package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementKeys;
import beaconturn.agreement.AgreementStep;
import beaconturn.agreement.AgreementTransactions;
import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.StoreRequest;
import java.util.ArrayList;
import java.util.List;

/**
 * Rolls out the configuration version that belongs to a release: all routers act on the version
 * before the first wave, and the version is reverted after all instances have been rolled back.
 */
final class ConfigRollout {
  private static final String VERSIONS_UNKNOWN = "configuration versions are not known";
  private final AgreementTransactions agreementTransactions;

  ConfigRollout(RolloutKeys keys) {
    this.agreementTransactions = new AgreementTransactions(new AgreementKeys(keys.fleet()));
  }

  /**
   * Returns whether all routers act on the configuration version of the release. While the versions
   * are not known, a proposed version counts as in force.
   */
  boolean isInForce(DriverContext context) {
    ConfigChange change = context.snapshot().configChange();
    if (change == null) {
      return false;
    }
    return context.agreed() == null || context.agreed().isSettled(change.versionNumber());
  }

  /**
   * Returns the transaction that proposes the configuration version, or a rollback if the version
   * was rejected; null while the version is pending.
   */
  RolloutTransaction advance(DriverContext context) {
    AgreedVersions agreed = context.agreed();
    if (agreed == null) {
      context.waitFor(VERSIONS_UNKNOWN);
      return null;
    }
    ConfigChange change = context.snapshot().configChange();
    if (change == null) {
      ConfigContent current = agreed.snapshot().current().content();
      return propose(
          context,
          context.plan().configContent().withDefaults(current).withExclusionsOf(current),
          new ConfigChange(agreed.nextNumber(), current, 0));
    }
    if (agreed.isRejected(change.versionNumber())) {
      return context.rollBack(
          "its settings, version " + change.versionNumber() + ", were turned down");
    }
    context.waitFor(
        "configuration version "
            + change.versionNumber()
            + " of the release waits for "
            + awaitedRouters(agreed));
    return null;
  }

  /**
   * Returns the next transaction that reverts the configuration; null if none is due. While the
   * reverting version is pending, the context gets a wait reason; after the revert it gets none.
   */
  RolloutTransaction revert(DriverContext context) {
    AgreedVersions agreed = context.agreed();
    if (agreed == null) {
      context.waitFor(VERSIONS_UNKNOWN);
      return null;
    }
    ConfigChange change = context.snapshot().configChange();
    boolean revertProposed = change.revertVersionNumber() != 0;
    if (revertProposed && agreed.isSettled(change.revertVersionNumber())) {
      return null;
    }
    if (!revertProposed && agreed.isRejected(change.versionNumber())) {
      return deleteConfigChange(context);
    }
    if (!revertProposed || agreed.isRejected(change.revertVersionNumber())) {
      return propose(
          context,
          change.previousContent().withExclusionsOf(agreed.snapshot().current().content()),
          new ConfigChange(change.versionNumber(), change.previousContent(), agreed.nextNumber()));
    }
    context.waitFor(
        "configuration version "
            + change.revertVersionNumber()
            + ", which reverts that of the release, waits for "
            + awaitedRouters(agreed));
    return null;
  }

  /** Deletes a rejected configuration change: the version never took effect. */
  private static RolloutTransaction deleteConfigChange(DriverContext context) {
    String key = context.keys().configChange();
    return context.transaction(
        "its settings never came into force",
        List.of(key),
        List.of(new StoreRequest.Change.Delete(key)));
  }

  /**
   * Returns a transaction that proposes a version under the driver's own conditions, so that a
   * replaced driver cannot propose one.
   */
  private RolloutTransaction propose(
      DriverContext context, ConfigContent content, ConfigChange change) {
    AgreementStep proposal;
    try {
      proposal =
          agreementTransactions.propose(
              context.agreed().snapshot(),
              context.agreed().nextNumber(),
              content,
              "release " + context.plan().number(),
              context.plan().reason(),
              context.agreed().atMillis());
    } catch (AgreementException e) {
      context.waitFor(e.getMessage());
      return null;
    }
    List<StoreRequest.Change> changes = new ArrayList<>(proposal.transaction().changes());
    changes.add(context.transactions().put(change));
    RolloutTransaction transaction =
        context.transaction(
            "its settings: " + proposal.description(),
            List.of(context.keys().configChange()),
            changes);
    List<StoreRequest.Condition> conditions =
        new ArrayList<>(transaction.storeTransaction().conditions());
    conditions.addAll(proposal.transaction().conditions());
    return new RolloutTransaction(
        new StoreRequest.Transaction(conditions, transaction.storeTransaction().changes()),
        transaction.description());
  }

  private static String awaitedRouters(AgreedVersions agreed) {
    return String.join(", ", agreed.awaitedRouters());
  }
}
