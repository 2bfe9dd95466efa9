package beaconturn.history;

/**
 * One break of a rule.
 *
 * @param at when, in nanoseconds of the account's clock
 * @param request the request's id, or empty
 * @param server the server's name, or empty
 * @param what what happened, in words
 */
public record Violation(long at, String request, String server, String what) {}
