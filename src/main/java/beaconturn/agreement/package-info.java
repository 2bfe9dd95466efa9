/**
 * Versions of settings and lists on which all routers of a fleet agree, decided without I/O on an
 * injected clock. What is guaranteed, and how it follows, stands in {@code docs/agreement.md}:
 * never do two routers act on contradicting versions for longer than {@link
 * beaconturn.agreement.AgreementTiming#stated}, whatever is cut, paused or lost; and losing the
 * store costs no request.
 */
package beaconturn.agreement;
