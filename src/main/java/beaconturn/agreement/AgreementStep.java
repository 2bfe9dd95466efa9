package beaconturn.agreement;

/**
 * One state transition of a version: proposed, rejected, put in force or settled.
 *
 * @param transaction commits the step if the state that it was decided on is unchanged
 * @param description text for logs and operators
 */
public record AgreementStep(StoreRequest.Transaction transaction, String description) {}
