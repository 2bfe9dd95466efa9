package beaconturn.cli;

import beaconturn.release.InstanceVariant;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * Switches an instance to a variant by running the operators' shell command in a separate thread.
 * Started and polled by the agent's thread.
 */
final class InstanceAction {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private final String instanceId;
  private final String command;

  /**
   * Result of the last action until it is taken, otherwise null. Written by the action's thread.
   */
  private volatile String outcome;

  InstanceAction(String instanceId, String command) {
    this.instanceId = instanceId;
    this.command = command;
  }

  /** Starts the command; it is killed if it runs longer than the timeout. */
  void start(InstanceVariant variant, long timeoutNanos) {
    AgentStore.log(instanceId + " switches to variant " + variant.serializedName());
    new Thread(() -> outcome = run(variant, timeoutNanos), "action").start();
  }

  /**
   * Returns and clears the result of the last action: empty if the instance is ready, otherwise the
   * reason of the failure. Null while the action runs and if there is no result.
   */
  String takeOutcome() {
    String takenOutcome = outcome;
    if (takenOutcome != null) {
      outcome = null;
    }
    return takenOutcome;
  }

  private String run(InstanceVariant variant, long timeoutNanos) {
    try {
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command).inheritIO();
      builder.environment().put("PART", instanceId);
      builder.environment().put("VARIANT", variant.serializedName());
      Process process = builder.start();
      long timeoutMillis = timeoutNanos / NANOS_PER_MILLI;
      if (!process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)) {
        process.descendants().forEach(ProcessHandle::destroyForcibly);
        process.destroyForcibly();
        return "not ready within " + timeoutMillis + " ms";
      }
      return process.exitValue() == 0 ? "" : "the command ended with status " + process.exitValue();
    } catch (IOException e) {
      return String.valueOf(e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return "interrupted";
    }
  }
}
