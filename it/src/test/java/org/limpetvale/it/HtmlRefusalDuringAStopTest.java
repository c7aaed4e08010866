package org.limpetvale.it;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetvale.fakes.fleet.Fleet;
import org.limpetvale.fakes.fleet.FleetPlan;
import org.limpetvale.fakes.fleet.Http;

/** Guards against error pages of the web server, without a code, while an entry stops. */
final class HtmlRefusalDuringAStopTest {
  private static final int CALLERS = 16;

  private Fleet fleet;
  private String key;

  @BeforeEach
  void startFleet() throws Exception {
    fleet = Fleet.start(FleetPlan.small());
    key = fleet.configure("e1", "dispatch").get("dispatch");
  }

  @AfterEach
  void stopFleet() {
    fleet.close();
  }

  @Test
  void eachRefusalWhileAnEntryStopsHasACodeAndSaysWhetherTheRequestRan() throws Exception {
    AtomicBoolean stop = new AtomicBoolean();
    Future<List<List<String>>> calls =
        ConcurrentCalls.runAsync(() -> ConcurrentCalls.runAll(CALLERS, i -> caller(i, stop)));
    Thread.sleep(500);
    fleet.process("e1").terminate();
    assertThat(fleet.process("e1").awaitExit(Duration.ofSeconds(40))).isTrue();
    stop.set(true);
    List<String> refusals = new ArrayList<>();
    ConcurrentCalls.get(calls).forEach(refusals::addAll);
    assertThat(refusals).isNotEmpty();
    assertThat(refusals).allMatch(each -> each.contains("\"code\"") && each.contains("not_run"));
  }

  /** Sends requests until the entry has stopped; returns the bodies of its refusals. */
  private Callable<List<String>> caller(int number, AtomicBoolean stop) {
    return () -> {
      List<String> refusals = new ArrayList<>();
      for (int i = 0; !stop.get(); i++) {
        try {
          Http.Response response =
              ChatClient.complete(fleet, "e1", key, "c " + number + " " + i + " [len=1]");
          if (response.status() != 200) {
            refusals.add(response.status() + " " + response.body());
          }
        } catch (IOException e) {
          // The entry accepts no connection any more.
          Thread.sleep(1);
        }
      }
      return refusals;
    };
  }
}
