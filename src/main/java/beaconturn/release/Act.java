package beaconturn.release;

import beaconturn.agreement.Call;

/** A step through the store, and what it is in words. */
public record Act(Call.Swap swap, String says) {}
