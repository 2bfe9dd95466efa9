package beaconturn.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.LongConsumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Models the slow origin behind all cache servers: workers with a bounded queue, a version of each
 * key, and a count of the executions of each effect.
 *
 * <p>If the calls in the origin exceed a multiple of its workers for too long, it collapses: all
 * its calls fail, and it rejects new ones during the outage.
 */
public final class OriginModel {
  /** The version that is passed for a call that failed or was rejected. */
  public static final long FAILED = -1;

  private final EventScheduler scheduler;
  private final Spec spec;
  private final UniformRandomProvider random;
  private final HistoryRecorder recorder;
  private final Map<String, Long> versions = new HashMap<>();
  private final Map<String, Integer> executions = new HashMap<>();
  private final List<Call> running = new ArrayList<>();
  private final Queue<Call> waiting = new ArrayDeque<>();

  /** The scheduled collapse, which is cancelled if the load falls before it; null if none. */
  private EventScheduler.Task collapse;

  private double slowdown = 1;
  private boolean stopped;
  private boolean overloaded;

  /**
   * Capacity of an origin.
   *
   * @param workers calls that are processed at once
   * @param queueCapacity calls that may wait; further ones fail at once
   * @param workNanos mean duration of a call; each takes half to one and a half of it
   * @param overloadMultiple the origin collapses if more calls than this multiple of its workers
   *     are in it for {@code overloadNanos}
   * @param overloadNanos how long the overload has to last
   * @param outageNanos how long calls are rejected after a collapse
   */
  public record Spec(
      int workers,
      int queueCapacity,
      long workNanos,
      double overloadMultiple,
      long overloadNanos,
      long outageNanos) {}

  private static final class Call {
    private final String key;

    /** Identifies the effect of a write; null for a read. */
    private final String effect;

    private final LongConsumer callback;
    private EventScheduler.Task completion;

    private Call(String key, String effect, LongConsumer callback) {
      this.key = key;
      this.effect = effect;
      this.callback = callback;
    }
  }

  /** Creates an origin that is available and has version 0 of every key. */
  public OriginModel(
      EventScheduler scheduler, Spec spec, UniformRandomProvider random, HistoryRecorder recorder) {
    this.scheduler = scheduler;
    this.spec = spec;
    this.random = random;
    this.recorder = recorder;
  }

  /** Reads a key; the callback receives its version or {@link #FAILED}. */
  void fetch(String server, boolean cold, String key, LongConsumer callback) {
    accept(server, cold, new Call(key, null, callback));
  }

  /** Executes a write; the callback receives the key's new version or {@link #FAILED}. */
  void write(String server, boolean cold, String key, String effect, LongConsumer callback) {
    accept(server, cold, new Call(key, effect, callback));
  }

  private void accept(String server, boolean cold, Call call) {
    recorder.originCalled(scheduler.now(), server, cold, pending() + 1);
    if (overloaded || waiting.size() >= spec.queueCapacity()) {
      scheduler.in(0, () -> call.callback.accept(FAILED));
      return;
    }
    waiting.add(call);
    checkOverload();
    startWaitingCalls();
  }

  private void startWaitingCalls() {
    while (!stopped && running.size() < spec.workers() && !waiting.isEmpty()) {
      Call next = waiting.remove();
      running.add(next);
      long durationNanos = (long) (spec.workNanos() * slowdown * (0.5 + random.nextDouble()));
      next.completion = scheduler.in(durationNanos, () -> finish(next));
    }
  }

  private void finish(Call call) {
    if (stopped) {
      // Calls that were due while the origin was stopped complete after it resumes.
      call.completion = scheduler.in(spec.workNanos(), () -> finish(call));
      return;
    }
    running.remove(call);
    long version = versions.getOrDefault(call.key, 0L);
    if (call.effect != null) {
      executions.merge(call.effect, 1, Integer::sum);
      versions.put(call.key, ++version);
    }
    startWaitingCalls();
    checkOverload();
    call.callback.accept(version);
  }

  /** Schedules the collapse when an overload starts and cancels it when the overload ends. */
  private void checkOverload() {
    boolean tooManyCalls = pending() > spec.overloadMultiple() * spec.workers();
    if (tooManyCalls && collapse == null) {
      collapse = scheduler.in(spec.overloadNanos(), this::collapse);
    } else if (!tooManyCalls && collapse != null) {
      collapse.cancel();
      collapse = null;
    }
  }

  private void collapse() {
    collapse = null;
    overloaded = true;
    recorder.overloaded(scheduler.now(), "origin");
    List<Call> lost = new ArrayList<>(running);
    lost.addAll(waiting);
    running.clear();
    waiting.clear();
    for (Call call : lost) {
      if (call.completion != null) {
        call.completion.cancel();
      }
      call.callback.accept(FAILED);
    }
    scheduler.in(spec.outageNanos(), () -> overloaded = false);
  }

  /** Sets the factor by which calls that start from now on take longer. */
  public void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Stops or resumes all work; calls wait while the origin is stopped. */
  public void setStopped(boolean on) {
    stopped = on;
    if (!on) {
      startWaitingCalls();
    }
  }

  /** Returns the number of calls that are running or waiting. */
  public int pending() {
    return running.size() + waiting.size();
  }

  /** Returns whether the origin has collapsed and rejects calls. */
  public boolean overloaded() {
    return overloaded;
  }

  /** Returns the version of a key, which each execution of a write raises by one. */
  public long version(String key) {
    return versions.getOrDefault(key, 0L);
  }

  /** Returns how often an effect was executed. */
  public int executionCount(String effect) {
    return executions.getOrDefault(effect, 0);
  }
}
