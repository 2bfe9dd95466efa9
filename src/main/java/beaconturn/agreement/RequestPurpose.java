package beaconturn.agreement;

/** What a member's outstanding request to the store is for. */
enum RequestPurpose {
  GRANT_LEASE,
  RENEW_LEASE,
  READ_COMMON,
  CONFIRM_VERSIONS,
  READ_NAMESAKES,
  JOIN,
  UPDATE_RECORD,
  READ_MEMBERS,
  READ_LIVE_MEMBERS,
  TAKE_LEADERSHIP,
  TAKE_STEP;

  /** Whether it belongs to a step that the leader works on. */
  boolean belongsToStep() {
    return this == TAKE_STEP || this == READ_MEMBERS || this == READ_LIVE_MEMBERS;
  }
}
