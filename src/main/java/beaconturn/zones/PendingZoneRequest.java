package beaconturn.zones;

import beaconturn.agreement.StoreRequest;

/** A request to the store and what it is for. */
record PendingZoneRequest(ZoneRequestPurpose purpose, StoreRequest request) {}
