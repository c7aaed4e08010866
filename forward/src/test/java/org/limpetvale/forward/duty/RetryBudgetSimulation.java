package org.limpetvale.forward.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.limpetvale.core.retry.BudgetHistory;
import org.limpetvale.core.retry.FleetRetryBudget;
import org.limpetvale.forward.account.RetryBudgets;
import org.limpetvale.forward.testing.InMemoryStore;
import org.limpetvale.forward.testing.ManualTimer;
import org.limpetvale.forward.testing.ProcessLifecycle;

/**
 * Simulates, in virtual time, several entries that forward requests to one service, each with its
 * own share of the retry budget. Requests fail on demand. Callers of an entry that is not running
 * use the other entries.
 */
final class RetryBudgetSimulation {
  static final long WINDOW_MILLIS = DutyProcess.RETRY_WINDOW_MILLIS;
  static final double RATIO = 0.2;
  static final double ALLOWANCE = 50;

  private static final String SERVICE = "desk";
  private static final long STEP_MILLIS = 20;
  private static final long USAGE_WINDOW_MILLIS = 5_000;
  private static final long SETTLE_MILLIS = 3_000;
  private static final int MAX_RETRIES = 2;

  /** Duration of a request; all requests in flight fail together when the service fails. */
  private static final long REQUEST_MILLIS = 1_000;

  private final ManualTimer timer = new ManualTimer();
  private final InMemoryStore store;
  private final DutyProcess.Environment environment;
  private final BudgetHistory history = BudgetHistory.of(WINDOW_MILLIS, RATIO, ALLOWANCE);
  private final List<Entry> entries = new ArrayList<>();
  private final double requestsPerSecond;
  private boolean failing;
  private boolean storeDown;

  /** Longest time that a retry waits for a connection to an unreachable upstream. */
  private long maxConnectMillis;

  final Random random;

  /** An entry, across restarts of its process. */
  final class Entry extends SimulatedEntry {
    /** Share of the traffic, relative to the weights of the other entries. */
    private double weight = 1;

    private RetryBudgets budgets;

    private Entry(String name) {
      super(environment, name);
    }

    @Override
    void processStarted(String boot) {
      budgets =
          RetryBudgets.of(
              new RetryBudgets.Bounds(RATIO, ALLOWANCE, WINDOW_MILLIS),
              process().members::share,
              process().time);
    }

    void setWeight(double value) {
      weight = value;
    }

    void setLostShare(double share) {
      process().life.lostAnswerShare = share;
    }

    private void request() {
      budgets.requestSent(SERVICE);
      history.recordRequest(timer.nowMillis());
      if (failing) {
        fail();
      }
    }

    private void fail() {
      for (int retry = 0; retry < MAX_RETRIES; retry++) {
        FleetRetryBudget.Decision decision = budgets.tryTake(SERVICE);
        if (!decision.granted()) {
          return;
        }
        if (maxConnectMillis == 0) {
          history.recordRetry(timer.nowMillis());
        } else {
          ProcessLifecycle life = process().life;
          timer.after(random.nextLong(maxConnectMillis), () -> life.run(() -> send(decision)));
        }
      }
    }

    private void send(FleetRetryBudget.Decision granted) {
      if (budgets.renew(SERVICE, granted).granted()) {
        history.recordRetry(timer.nowMillis());
      }
    }

    private void failInFlightRequests() {
      double inFlight = requestsPerSecond * REQUEST_MILLIS / 1_000 * share(this);
      for (int i = 0; i < inFlight; i++) {
        fail();
      }
    }
  }

  RetryBudgetSimulation(long seed, int entryCount, double requestsPerSecond) {
    this.random = new Random(seed);
    this.requestsPerSecond = requestsPerSecond;
    this.store = new InMemoryStore(timer, random);
    this.environment = DutyProcess.Environment.of(timer, store, USAGE_WINDOW_MILLIS, SETTLE_MILLIS);
    for (int i = 0; i < entryCount; i++) {
      add();
    }
  }

  /** Adds and starts an entry. */
  Entry add() {
    Entry entry = new Entry(String.format("edge-%02d", entries.size()));
    entries.add(entry);
    entry.setStoreDown(storeDown);
    entry.boot();
    return entry;
  }

  List<Entry> entries() {
    return entries;
  }

  Entry anyEntry() {
    return entries.get(random.nextInt(entries.size()));
  }

  /** Sends requests for the given time. */
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

  /** Sets whether all requests fail, including those in flight. */
  void setFailing(boolean value) {
    if (value && !failing) {
      entries.stream().filter(Entry::serves).forEach(Entry::failInFlightRequests);
    }
    failing = value;
  }

  /** Sets whether the store is unavailable to all entries. */
  void setStoreDown(boolean value) {
    storeDown = value;
    entries.forEach(each -> each.setStoreDown(value));
  }

  boolean isStoreDown() {
    return storeDown;
  }

  /** Sets how long retries wait at most for a connection to an unreachable upstream. */
  void setMaxConnectMillis(long maxMillis) {
    maxConnectMillis = maxMillis;
  }

  BudgetHistory.Window worstWindow() {
    return history.worstWindow();
  }

  int retryCount() {
    return history.retryCount();
  }
}
