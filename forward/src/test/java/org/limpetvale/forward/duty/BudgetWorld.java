package org.limpetvale.forward.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.limpetvale.core.retry.BudgetHistory;
import org.limpetvale.core.retry.FleetRetryBudget;
import org.limpetvale.forward.account.RetryBudgets;
import org.limpetvale.forward.spi.DutyClient;
import org.limpetvale.forward.spi.DutyReply;
import org.limpetvale.forward.testing.InMemoryStore;
import org.limpetvale.forward.testing.ManualTimer;
import org.limpetvale.forward.testing.ProcessLifecycle;

/**
 * Entries before one service whose requests fail at times, each with a retry budget of its own, in
 * virtual time. Callers of an entry that does not run go to the others.
 */
final class BudgetWorld {
  static final long WINDOW_MILLIS = DutyProcess.RETRY_WINDOW_MILLIS;
  static final double RATIO = 0.2;
  static final double ALLOWANCE = 50;

  private static final String SERVICE = "desk";
  private static final long STEP_MILLIS = 20;
  private static final long USAGE_WINDOW_MILLIS = 5_000;
  private static final long SETTLE_MILLIS = 3_000;
  private static final int MOST_REPEATS = 2;

  /** Time that requests of a service take; those under way fail together when it fails. */
  private static final long UNDER_WAY_MILLIS = 1_000;

  private final ManualTimer timer = new ManualTimer();
  private final InMemoryStore store;
  private final DutyProcess.World world;
  private final BudgetHistory history = BudgetHistory.of(WINDOW_MILLIS, RATIO, ALLOWANCE);
  private final List<Entry> entries = new ArrayList<>();
  private final double requestsPerSecond;
  private boolean failing;
  private boolean storeDown;

  /** Longest time that a repeat waits for connections to an upstream that has gone dark. */
  private long mostConnectMillis;

  final Random random;

  /** An entry, over its processes. */
  final class Entry {
    private final String name;

    /** Share of the callers, against the shares of the other entries. */
    private double weight = 1;

    private int boots;
    private DutyProcess process;
    private RetryBudgets budgets;
    private boolean running;
    private boolean cut;

    private Entry(String name) {
      this.name = name;
    }

    private void boot() {
      process = DutyProcess.start(world, name, "b" + ++boots, life -> NO_DUTY_CALLS, () -> 0);
      process.life.storeUnreachable = storeDown || cut;
      budgets =
          RetryBudgets.of(
              new RetryBudgets.Bounds(RATIO, ALLOWANCE, WINDOW_MILLIS),
              process.members::share,
              process.time);
      running = true;
    }

    private boolean serves() {
      return running && !process.life.isFrozen();
    }

    void weight(double value) {
      weight = value;
    }

    void kill(long downMillis) {
      if (running) {
        running = false;
        process.life.kill();
        timer.after(downMillis, this::boot);
      }
    }

    void stop(long downMillis) {
      if (serves()) {
        running = false;
        ProcessLifecycle ending = process.life;
        process.loop.stop().thenAccept(done -> ending.kill());
        timer.after(downMillis, this::boot);
      }
    }

    void standStill(long millis, boolean clockStands) {
      if (serves()) {
        ProcessLifecycle life = process.life;
        if (clockStands) {
          life.suspend(timer);
        } else {
          life.freeze();
        }
        timer.after(millis, () -> life.thaw(timer));
      }
    }

    void cut(boolean value) {
      cut = value;
      process.life.storeUnreachable = storeDown || cut;
    }

    boolean isCut() {
      return cut;
    }

    void losesAnswers(double share) {
      process.life.lostAnswerShare = share;
    }

    // -- requests

    private void request() {
      budgets.requestSent(SERVICE);
      history.recordRequest(timer.nowMillis());
      if (failing) {
        fail();
      }
    }

    private void fail() {
      for (int repeat = 0; repeat < MOST_REPEATS; repeat++) {
        FleetRetryBudget.Decision decision = budgets.tryTake(SERVICE);
        if (!decision.granted()) {
          return;
        }
        if (mostConnectMillis == 0) {
          history.recordRetry(timer.nowMillis());
        } else {
          ProcessLifecycle life = process.life;
          timer.after(random.nextLong(mostConnectMillis), () -> life.run(() -> send(decision)));
        }
      }
    }

    private void send(FleetRetryBudget.Decision granted) {
      if (budgets.renew(SERVICE, granted).granted()) {
        history.recordRetry(timer.nowMillis());
      }
    }

    private void requestsUnderWayFail() {
      double underWay = requestsPerSecond * UNDER_WAY_MILLIS / 1_000 * share(this);
      for (int i = 0; i < underWay; i++) {
        fail();
      }
    }
  }

  private static final DutyClient NO_DUTY_CALLS =
      new DutyClient() {
        @Override
        public CompletableFuture<DutyReply> reportUsage(
            String holder, long fence, long window, Map<String, Long> counts) {
          return CompletableFuture.completedFuture(new DutyReply.Taken());
        }

        @Override
        public CompletableFuture<DutyReply> orderUpstreams(
            String holder, long fence, String service, String zone, int wanted) {
          throw new UnsupportedOperationException("nothing is scaled here");
        }
      };

  BudgetWorld(long seed, int entryCount, double requestsPerSecond) {
    this.random = new Random(seed);
    this.requestsPerSecond = requestsPerSecond;
    this.store = new InMemoryStore(timer, random);
    this.world = DutyProcess.World.of(timer, store, USAGE_WINDOW_MILLIS, SETTLE_MILLIS);
    for (int i = 0; i < entryCount; i++) {
      add();
    }
  }

  /** Adds an entry that starts now. */
  Entry add() {
    Entry entry = new Entry(String.format("edge-%02d", entries.size()));
    entries.add(entry);
    entry.boot();
    return entry;
  }

  List<Entry> entries() {
    return entries;
  }

  Entry anyEntry() {
    return entries.get(random.nextInt(entries.size()));
  }

  // -- what happens

  /** Lets requests come for a time. */
  void run(long millis) {
    long endMillis = timer.nowMillis() + millis;
    while (timer.nowMillis() < endMillis) {
      timer.advance(STEP_MILLIS);
      List<Entry> serving = entries.stream().filter(Entry::serves).toList();
      for (Entry entry : serving) {
        double expected = requestsPerSecond * STEP_MILLIS / 1_000 * share(entry);
        for (int i = poisson(expected); i > 0; i--) {
          entry.request();
        }
      }
    }
  }

  private double share(Entry entry) {
    double all = entries.stream().filter(Entry::serves).mapToDouble(each -> each.weight).sum();
    return entry.weight / all;
  }

  private int poisson(double mean) {
    double limit = Math.exp(-mean);
    int count = 0;
    for (double product = random.nextDouble(); product > limit; product *= random.nextDouble()) {
      count++;
    }
    return count;
  }

  /** Lets all requests fail from now on, also those under way, or none any more. */
  void failing(boolean value) {
    if (value && !failing) {
      entries.stream().filter(Entry::serves).forEach(Entry::requestsUnderWayFail);
    }
    failing = value;
  }

  /** Takes the store away from all, or brings it back. */
  void storeDown(boolean value) {
    storeDown = value;
    entries.forEach(each -> each.process.life.storeUnreachable = storeDown || each.cut);
  }

  boolean isStoreDown() {
    return storeDown;
  }

  /** Lets repeats wait for connections to an upstream that has gone dark. */
  void connectsTake(long mostMillis) {
    mostConnectMillis = mostMillis;
  }

  // -- what was seen

  BudgetHistory.Window worst() {
    return history.worstWindow();
  }

  int repeats() {
    return history.retryCount();
  }
}
