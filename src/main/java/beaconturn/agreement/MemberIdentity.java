package beaconturn.agreement;

/**
 * Identity of a member: its router and the process of that router.
 *
 * @param name name of the router, stable over restarts
 * @param incarnation unique id of this process
 * @param sharesName whether another process of the same router may run at the same time
 */
public record MemberIdentity(String name, String incarnation, boolean sharesName) {}
