package beaconturn.net;

/** By which number the module knows a cache server of that name. */
public final class CacheNames {
    private CacheNames() {
    }

    /** The number. */
    public static long number(String name) {
        return NameHash.of(name);
    }
}
