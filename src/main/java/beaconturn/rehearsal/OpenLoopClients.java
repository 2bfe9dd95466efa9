package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.history.History;
import beaconturn.history.HistoryEvent;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.stream.IntStream;

/**
 * All clients of a play behind their front: sends each planned request at its time, whatever the
 * answers before it do, tries again as clients do, and goes round a router that the front knows to
 * be down.
 */
final class OpenLoopClients implements SequentialClient.Owner {
  private static final long MILLI = 1_000_000;
  private static final int HASTE_SHIFT = 23;
  private static final int CHANCES = 10_000;
  private static final int LONGEST_HASTY = 5;
  private final Scenario scenario;
  private final List<InetSocketAddress> routers;
  private final Clock clock;
  private final History account;
  private final ClientStatistics tally;
  private final PipelinedClients pipelined;
  private final List<SilentClients> silent = new ArrayList<>();
  // Guarded by this:
  private final PriorityQueue<Due> due = new PriorityQueue<>();
  private final List<Deque<SequentialClient>> idle = new ArrayList<>();
  private final boolean[] avoided;
  private long started;
  private long lastNumber;
  private int out;
  private boolean over;

  private record Due(long at, long number, SequentialClient.Try asked) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  OpenLoopClients(
      Scenario scenario,
      List<InetSocketAddress> routers,
      Clock clock,
      History account,
      ClientStatistics tally) {
    this.scenario = scenario;
    this.routers = routers;
    this.clock = clock;
    this.account = account;
    this.tally = tally;
    this.pipelined = new PipelinedClients(scenario, routers, clock, account, this);
    this.avoided = new boolean[routers.size()];
    routers.forEach(router -> idle.add(new ArrayDeque<>()));
  }

  /** Begins to send; times of the plan count from {@code start}. */
  synchronized void start(List<ScheduledRequest> plan, long start) {
    started = start;
    for (ScheduledRequest planned : plan) {
      due.add(new Due(start + planned.at(), ++lastNumber, attempt(planned, 0)));
    }
    int quiet = scenario.clients().stream().mapToInt(c -> c.conduct().silent()).sum();
    if (quiet > 0) {
      routers.forEach(router -> silent.add(new SilentClients(router, quiet)));
      silent.forEach(SilentClients::start);
    }
    Thread thread = new Thread(this::run, "clients");
    thread.setDaemon(true);
    thread.start();
  }

  private SequentialClient.Try attempt(ScheduledRequest planned, int attempt) {
    Scenario.Clients stream = scenario.clients().get(planned.stream());
    long patience = patience(planned, stream);
    String once =
        planned.type().effect() == Scenario.Effect.KEYED ? planned.once(scenario.seed()) : null;
    List<Integer> near =
        IntStream.range(0, routers.size()).filter(r -> stands(r, stream)).boxed().toList();
    return new SequentialClient.Try(
        planned,
        attempt,
        planned.id(scenario.seed(), attempt),
        near.get(planned.router(attempt, near.size())),
        patience,
        once);
  }

  /** In whole milliseconds, as the protocol has it. */
  private static long patience(ScheduledRequest planned, Scenario.Clients stream) {
    int chance = (int) Long.remainderUnsigned(planned.chance() >>> HASTE_SHIFT, CHANCES);
    if (chance < stream.conduct().hasty() * CHANCES) {
      return (1 + chance % LONGEST_HASTY) * MILLI;
    }
    return Math.max(MILLI, (long) (planned.type().deadline() * stream.tryShare()) / MILLI * MILLI);
  }

  private void run() {
    try {
      while (true) {
        Due next = next();
        if (next == null) {
          return;
        }
        long late = clock.now() - next.at();
        tally.sent(next.asked(), late);
        send(next.asked());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized Due next() throws InterruptedException {
    while (!over) {
      long wait = due.isEmpty() ? Long.MAX_VALUE : due.peek().at() - clock.now();
      if (wait <= 0) {
        out++;
        return due.remove();
      }
      wait(Math.max(1, Math.min(1000, wait / MILLI)));
    }
    return null;
  }

  private void send(SequentialClient.Try asked) {
    SequentialClient line;
    SequentialClient.Try sent;
    boolean oneByOne = scenario.clients().get(asked.planned().stream()).conduct().oneByOne();
    synchronized (this) {
      int router = !oneByOne && pipelined.connected(asked) ? asked.router() : up(asked);
      sent =
          new SequentialClient.Try(
              asked.planned(), asked.attempt(), asked.id(), router, asked.patience(), asked.once());
      line = oneByOne ? idle.get(router).pollFirst() : null;
    }
    if (!oneByOne) {
      pipelined.send(sent);
      return;
    }
    if (line == null) {
      line =
          new SequentialClient(
              routers.get(sent.router()), clock, account, this, scenario.crowded());
      line.start();
    }
    line.ask(sent);
  }

  /** Whether a router stands where those clients have theirs. */
  private boolean stands(int router, Scenario.Clients stream) {
    return stream.site().isEmpty() || scenario.routers().get(router).site().equals(stream.site());
  }

  /**
   * Its router, or the next that the front goes to; one of the clients' own site while there is
   * one.
   */
  private int up(SequentialClient.Try asked) {
    Scenario.Clients stream = scenario.clients().get(asked.planned().stream());
    List<Integer> up =
        IntStream.range(0, avoided.length)
            .map(i -> (asked.router() + i) % avoided.length)
            .filter(r -> !avoided[r])
            .boxed()
            .toList();
    return up.stream()
        .filter(r -> stands(r, stream))
        .findFirst()
        .orElse(up.isEmpty() ? asked.router() : up.get(0));
  }

  @Override
  public void done(SequentialClient line, SequentialClient.Result result, boolean reusable) {
    tally.done(result, started);
    synchronized (this) {
      out--;
      if (reusable) {
        idle.get(result.asked().router()).addFirst(line);
      }
      long wait = again(result);
      if (wait >= 0) {
        SequentialClient.Try next = attempt(result.asked().planned(), result.asked().attempt() + 1);
        due.add(new Due(clock.now() + wait, ++lastNumber, next));
      }
      notifyAll();
    }
  }

  /**
   * How long until the client tries again, or below 0: never a write that may have run and must not
   * twice.
   */
  private long again(SequentialClient.Result result) {
    ScheduledRequest planned = result.asked().planned();
    Scenario.Clients stream = scenario.clients().get(planned.stream());
    boolean served =
        result.kind() == HistoryEvent.ClientOutcome.SERVED
            || result.kind() == HistoryEvent.ClientOutcome.ABANDONED;
    boolean doubtful =
        result.kind() != null && result.kind() != HistoryEvent.ClientOutcome.REJECTED;
    boolean unsafe = planned.type().effect() == Scenario.Effect.UNSAFE;
    if (served || (doubtful && unsafe) || result.asked().attempt() >= stream.retries()) {
      return -1;
    }
    return Math.max(stream.backoff(), result.retryAfter());
  }

  @Override
  public void crossed(SequentialClient.Try again) {
    send(again);
  }

  /** The front goes round a router, or uses it again. */
  synchronized void avoid(int router, boolean on) {
    avoided[router] = on;
  }

  /**
   * Waits until nothing is out or planned any more, but not past the time; false if something is
   * left.
   */
  synchronized boolean drained(long until) throws InterruptedException {
    while (out > 0 || !due.isEmpty()) {
      long left = (until - clock.now()) / MILLI;
      if (left <= 0) {
        return false;
      }
      wait(Math.min(left, 50));
    }
    return true;
  }

  /** How many are out. */
  synchronized int out() {
    return out;
  }

  /** Ends all connections that are idle, each with a last look for answers too many. */
  synchronized void finish() {
    over = true;
    notifyAll();
    pipelined.finish();
    silent.forEach(SilentClients::finish);
    for (Deque<SequentialClient> lines : idle) {
      lines.forEach(SequentialClient::finish);
      lines.clear();
    }
  }
}
