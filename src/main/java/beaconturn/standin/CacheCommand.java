package beaconturn.standin;

import java.util.Objects;

/**
 * A complete command of a router, independent of the protocol in which it was sent.
 *
 * @param number sequence number over all commands of a fleet, from 1
 * @param key the key that is read or written
 * @param id the request's identifier, as given by the client
 * @param requestClass the name of the request's class
 * @param write whether the command has an effect
 * @param idempotencyKey the idempotency key, or null
 * @param timeoutNanos how long the router waits for a response
 * @param valueBytes size of the value that a write carries
 * @param firstByteNanos when its first byte was received, in nanoseconds of the model's clock
 * @param turn the event loop's turn in which its last byte was read
 */
public record CacheCommand(
    long number,
    String key,
    String id,
    String requestClass,
    boolean write,
    String idempotencyKey,
    long timeoutNanos,
    int valueBytes,
    long firstByteNanos,
    long turn) {
  /** Checks the components that every protocol supplies. */
  public CacheCommand {
    Objects.requireNonNull(key);
    Objects.requireNonNull(id);
    Objects.requireNonNull(requestClass);
  }
}
