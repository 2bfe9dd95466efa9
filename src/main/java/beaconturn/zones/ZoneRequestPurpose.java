package beaconturn.zones;

/** Purpose of a zone member's outstanding request to the store. */
enum ZoneRequestPurpose {
  GRANT_LEASE,
  RENEW_LEASE,
  READ_PLAN,
  REPORT,
  READ_LEADER,
  GRANT_LEADER_LEASE,
  RENEW_LEADER_LEASE,
  READ_SNAPSHOT,
  COMMIT_STEP
}
