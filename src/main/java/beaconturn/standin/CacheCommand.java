package beaconturn.standin;

import java.util.Objects;

/**
 * One command of a router as a cache server has read it whole, whatever protocol it came in.
 *
 * @param number counts all commands of a model, from 1
 * @param key what it concerns
 * @param id the request's id as the client gave it
 * @param type the request's class by name
 * @param write whether it has an effect
 * @param once the idempotency key, or null
 * @param patience how long the router says it waits, in nanoseconds
 * @param size bytes of the value that a write carries
 * @param firstAt when its first byte came, on the model's clock
 * @param turn the driver's turn in which its last byte was read
 */
public record CacheCommand(
    long number,
    String key,
    String id,
    String type,
    boolean write,
    String once,
    long patience,
    int size,
    long firstAt,
    long turn) {
  /** Checks what every protocol has to give. */
  public CacheCommand {
    Objects.requireNonNull(key);
    Objects.requireNonNull(id);
    Objects.requireNonNull(type);
  }
}
