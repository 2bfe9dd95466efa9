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
 * The configuration that goes with a release: in force on all routers before the first wave, and
 * reverted once no instance runs any more what was released.
 */
final class ConfigRollout {
  private static final String VERSIONS_UNKNOWN = "what is agreed on is not known";
  private final AgreementTransactions agreements;

  ConfigRollout(RolloutKeys keys) {
    this.agreements = new AgreementTransactions(new AgreementKeys(keys.fleet()));
  }

  /** Whether all routers act on the configuration of the release. */
  boolean isInForce(DriverContext context) {
    ConfigChange change = context.snapshot().configChange();
    if (change == null) {
      return false;
    }
    return context.agreed() == null || context.agreed().isSettled(change.versionNumber());
  }

  /** Brings the configuration into force; null while that waits. */
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
        "version " + change.versionNumber() + " of its settings waits for " + routers(agreed));
    return null;
  }

  /** Reverts the configuration; null while that waits, and once it is reverted or never was. */
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
      return forget(context);
    }
    if (!revertProposed || agreed.isRejected(change.revertVersionNumber())) {
      return propose(
          context,
          change.previousContent().withExclusionsOf(agreed.snapshot().current().content()),
          new ConfigChange(change.versionNumber(), change.previousContent(), agreed.nextNumber()));
    }
    context.waitFor(
        "version "
            + change.revertVersionNumber()
            + ", its settings of before, waits for "
            + routers(agreed));
    return null;
  }

  /** Forgets a configuration that never came into force, so that there is nothing to revert. */
  private static RolloutTransaction forget(DriverContext context) {
    String key = context.keys().configChange();
    return context.transaction(
        "its settings never came into force",
        List.of(key),
        List.of(new StoreRequest.Change.Delete(key)));
  }

  /**
   * Proposes a version, in one transaction with the conditions of the driver: one that was replaced
   * can propose nothing.
   */
  private RolloutTransaction propose(DriverContext context, ConfigContent content, ConfigChange change) {
    AgreementStep proposal;
    try {
      proposal =
          agreements.propose(
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
    List<StoreRequest.Condition> conditions = new ArrayList<>(transaction.storeTransaction().conditions());
    conditions.addAll(proposal.transaction().conditions());
    return new RolloutTransaction(
        new StoreRequest.Transaction(conditions, transaction.storeTransaction().changes()),
        transaction.description());
  }

  private static String routers(AgreedVersions agreed) {
    return String.join(", ", agreed.waitingFor());
  }
}
