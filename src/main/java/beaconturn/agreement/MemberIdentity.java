package beaconturn.agreement;

/**
 * Which router, and which process of it, a member stands for.
 *
 * @param name of the router, the same after a restart
 * @param incarnation of this process, never given again
 * @param sharesName whether another process of this name may live beside this one
 */
public record MemberIdentity(String name, String incarnation, boolean sharesName) {}
