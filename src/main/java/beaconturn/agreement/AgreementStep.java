package beaconturn.agreement;

/**
 * One step of a version through the store.
 *
 * @param transaction takes the step where what it was decided on is still so
 * @param description what the step does, in words
 */
public record AgreementStep(StoreRequest.Transaction transaction, String description) {}
