package org.limpetvale.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class RetryWindowTest {
  private static final long WINDOW_MILLIS = 10_000;
  private static final double RATIO = 0.2;
  private static final double ALLOWANCE = 52;

  @Test
  void theEntriesOfAFleetStayWithinItsBudgetInEveryWindow() {
    for (long seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      int entries = 1 + random.nextInt(9);
      List<RetryWindow> windows = new ArrayList<>();
      for (int i = 0; i < entries; i++) {
        windows.add(RetryWindow.of(WINDOW_MILLIS, RATIO, ALLOWANCE));
      }
      List<Long> requests = new ArrayList<>();
      List<Long> retries = new ArrayList<>();
      for (long now = 0; now < 40_000; now += 1 + random.nextInt(40)) {
        RetryWindow window = windows.get(random.nextInt(entries));
        window.request(now);
        requests.add(now);
        for (int i = random.nextInt(4); i > 0; i--) {
          if (window.tryTake(now, AllowanceShare.even(entries, 0)).granted()) {
            retries.add(now);
          }
        }
      }
      for (long end : retries) {
        long sent = inWindow(requests, end);
        assertThat((double) inWindow(retries, end))
            .as("seed %d at %d", seed, end)
            .isLessThanOrEqualTo(RATIO * sent + ALLOWANCE);
      }
    }
  }

  private static long inWindow(List<Long> times, long end) {
    return times.stream().filter(time -> time <= end && time > end - WINDOW_MILLIS).count();
  }

  @Test
  void repeatsComeBackWhenTheWindowHasPassed() {
    RetryWindow window = RetryWindow.of(WINDOW_MILLIS, 0, 10);
    int taken = 0;
    while (taken(window, 0)) {
      taken++;
    }
    assertThat(taken).isEqualTo(8);
    assertThat(taken(window, WINDOW_MILLIS)).isFalse();
    assertThat(taken(window, WINDOW_MILLIS + 1)).isTrue();
  }

  private static boolean taken(RetryWindow window, long nowMillis) {
    return window.tryTake(nowMillis, AllowanceShare.even(1, 0)).granted();
  }
}
