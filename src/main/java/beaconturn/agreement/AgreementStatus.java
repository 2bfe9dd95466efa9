package beaconturn.agreement;

import java.util.List;

/**
 * All that operators see of the agreement.
 *
 * @param snapshot the versions in force and proposed
 * @param members all routers
 * @param liveMemberKeys the keys of those that hold leases
 * @param awaitedMembers names of the routers that the open step waits for
 */
public record AgreementStatus(
    AgreementSnapshot snapshot,
    List<MemberRecord> members,
    List<String> liveMemberKeys,
    List<String> awaitedMembers) {}
