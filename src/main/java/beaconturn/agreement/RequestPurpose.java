package beaconturn.agreement;

/** Purpose of a member's request to the store. */
enum RequestPurpose {
  GRANT_LEASE,
  RENEW_LEASE,
  READ_COMMON,
  CONFIRM_VERSIONS,
  READ_ROUTER_RECORDS,
  JOIN,
  UPDATE_RECORD,
  READ_MEMBERS,
  READ_LIVE_MEMBERS,
  ACQUIRE_LEADERSHIP,
  COMMIT_STEP;

  /** Whether the request is part of the leader's work on a step. */
  boolean belongsToStep() {
    return this == COMMIT_STEP || this == READ_MEMBERS || this == READ_LIVE_MEMBERS;
  }
}
