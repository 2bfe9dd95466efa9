/**
 * Agreement of all routers of a fleet on versions of the configuration, without I/O and with an
 * injected clock.
 *
 * <p>{@link beaconturn.agreement.AgreementMember} is the state machine of one router, {@link
 * beaconturn.agreement.ConfigAdmin} has the operations of operators, and {@link
 * beaconturn.agreement.AgreementTransactions} builds the state transitions of a version. The
 * guarantees are derived in {@code docs/agreement.md}: no two routers act on contradicting versions
 * for longer than {@link beaconturn.agreement.AgreementTiming#maxStalenessNanos}, whatever network
 * partitions, pauses or losses occur, and no request fails because the store is unavailable.
 */
package beaconturn.agreement;
