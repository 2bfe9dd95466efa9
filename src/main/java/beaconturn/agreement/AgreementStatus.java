package beaconturn.agreement;

import java.util.List;

/**
 * Status of the agreement as shown to operators.
 *
 * @param snapshot the versions in force and proposed
 * @param members records of all routers
 * @param liveMemberKeys liveness keys of the routers that hold a lease
 * @param awaitedMembers names of the routers that the open step waits for
 */
public record AgreementStatus(
    AgreementSnapshot snapshot,
    List<MemberRecord> members,
    List<String> liveMemberKeys,
    List<String> awaitedMembers) {}
