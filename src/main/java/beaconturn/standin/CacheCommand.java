package beaconturn.standin;

import java.util.Objects;

/**
 * One command of a router as a cache server has read it whole, whatever protocol it came in.
 *
 * @param number counts all commands of a model, from 1
 * @param key what it concerns
 * @param id the request's id as the client gave it
 * @param requestClass the request's class by name
 * @param write whether it has an effect
 * @param idempotencyKey the idempotency key, or null
 * @param timeoutNanos how long the router says it waits, in nanoseconds
 * @param valueBytes bytes of the value that a write carries
 * @param firstByteAt when its first byte came, on the model's clock
 * @param turn the driver's turn in which its last byte was read
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
    long firstByteAt,
    long turn) {
  /** Checks what every protocol has to give. */
  public CacheCommand {
    Objects.requireNonNull(key);
    Objects.requireNonNull(id);
    Objects.requireNonNull(requestClass);
  }
}
