package beaconturn.agreement;

import java.util.List;

/**
 * Publishes what a router makes of its cache servers, on the lease of its member. Nothing that is
 * agreed on depends on it. For the member's thread.
 */
final class EndpointViewPublisher {
  private final AgreementKeys keys;
  private final MemberIdentity identity;

  /** What stands in the store, and on which lease; null before anything does. */
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
