package beaconturn.cli;

import beaconturn.release.InstanceVariant;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * Brings an instance to a variant by the operators' shell command, in a thread of its own. Started
 * and polled by the agent's thread.
 */
final class InstanceAction {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private final String instanceId;
  private final String command;

  /** How the last action ended, until it is taken; null before. Written by the action's thread. */
  private volatile String outcome;

  InstanceAction(String instanceId, String command) {
    this.instanceId = instanceId;
    this.command = command;
  }

  /** Starts the command; it is killed where it takes longer than the timeout. */
  void start(InstanceVariant variant, long timeoutNanos) {
    AgentStore.log(instanceId + " goes to " + variant.serializedName());
    new Thread(() -> outcome = run(variant, timeoutNanos), "action").start();
  }

  /**
   * How the action ended: empty where the instance is ready, else what went wrong. Null while the
   * action runs, where there was none, and once it was taken.
   */
  String takeOutcome() {
    String taken = outcome;
    if (taken != null) {
      outcome = null;
    }
    return taken;
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
