package beaconturn.zones;

import beaconturn.agreement.StoreRequest;

/** A request to the store with its purpose. */
record PendingZoneRequest(ZoneRequestPurpose purpose, StoreRequest request) {}
