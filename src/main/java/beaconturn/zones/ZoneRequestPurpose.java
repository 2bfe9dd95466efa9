package beaconturn.zones;

/** What a zone member's outstanding request to the store is for. */
enum ZoneRequestPurpose {
  GRANT_LEASE,
  RENEW_LEASE,
  READ_PLAN,
  REPORT,
  READ_LEADER,
  GRANT_LEADER_LEASE,
  RENEW_LEADER_LEASE,
  READ_ALL,
  TAKE_STEP
}
