/**
 * Versions of settings and lists on which all routers of a fleet agree, decided without I/O on an
 * injected clock.
 *
 * <p>{@link beaconturn.agreement.AgreementMember} is the state machine of one router, {@link
 * beaconturn.agreement.ConfigAdmin} what operators do, and {@link
 * beaconturn.agreement.AgreementTransactions} the steps of a version through the store. What is
 * guaranteed, and how it follows, stands in {@code docs/agreement.md}: never do two routers act on
 * contradicting versions for longer than {@link beaconturn.agreement.AgreementTiming#maxStalenessNanos},
 * whatever is cut, paused or lost; and losing the store costs no request.
 */
package beaconturn.agreement;
