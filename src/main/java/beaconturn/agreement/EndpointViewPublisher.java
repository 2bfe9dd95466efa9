package beaconturn.agreement;

import java.util.List;

/**
 * Publishes a router's endpoint view under its member's lease. No agreement step depends on it.
 * Confined to the member's thread.
 */
final class EndpointViewPublisher {
  private final AgreementKeys keys;
  private final MemberIdentity identity;

  /** The view in the store, or null if none has been published. */
  private EndpointView published;

  private long publishedOnLeaseId;

  EndpointViewPublisher(AgreementKeys keys, MemberIdentity identity) {
    this.keys = keys;
    this.identity = identity;
  }

  boolean isPublished(EndpointView view, long leaseId) {
    return view.equals(published) && publishedOnLeaseId == leaseId;
  }

  StoreRequest request(EndpointView view, long leaseId) {
    String liveMemberKey = keys.liveMember(identity.name(), identity.incarnation());
    String viewKey = keys.endpointView(identity.name(), identity.incarnation());
    return new StoreRequest.Transaction(
        List.of(new StoreRequest.Condition.Exists(liveMemberKey)),
        List.of(new StoreRequest.Change.Put(viewKey, view.encode(), leaseId)));
  }

  void handleResponse(EndpointView view, long leaseId, StoreResponse response) {
    if (response instanceof StoreResponse.Success success && success.conditionsHeld()) {
      published = view;
      publishedOnLeaseId = leaseId;
    }
  }
}
