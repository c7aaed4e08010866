package org.limpetvale.it;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.limpetvale.fakes.fleet.Fleet;
import org.limpetvale.fakes.fleet.FleetPlan;
import org.limpetvale.fakes.fleet.Http;

/**
 * The platform never receives interleaved power orders from two processes that both act as lease
 * holder of a zone.
 */
final class OrdersTest {
  private Fleet fleet;

  @AfterEach
  void stopFleet() {
    fleet.close();
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void ordersOfAFrozenLeaseHolderNeverArriveAfterThoseOfItsSuccessor(boolean platformIgnoresEpochs)
      throws Exception {
    start(platformIgnoresEpochs);
    String holder = awaitLeaseHolder();
    fleet.setPlatformFaults("power", "{\"writeLatencyMillis\":3000}");
    requestAction(otherEntry(holder), "stop");
    awaitArrivals(1);
    fleet.process(holder).pause();
    Thread.sleep(5000);
    fleet.setPlatformFaults("power", "{\"writeLatencyMillis\":0}");
    requestAction(otherEntry(holder), "start");
    Thread.sleep(3000);
    assertThat(senders()).hasSize(1);
    fleet.process(holder).resume();
    awaitRunning(true);
    assertOneSenderAtATime();
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void anOrderWhoseResponseIsLostIsResentOnlyByTheLeaseHolder(boolean platformIgnoresEpochs)
      throws Exception {
    start(platformIgnoresEpochs);
    String holder = awaitLeaseHolder();
    fleet.setPlatformFaults("power", "{\"loseAnswers\":2}");
    requestAction(holder, "stop");
    awaitRunning(false);
    requestAction(otherEntry(holder), "start");
    awaitRunning(true);
    assertOneSenderAtATime();
  }

  @Test
  void aLeaseHolderCutOffFromTheTableStopsAndItsSuccessorTakesOver() throws Exception {
    start(true);
    String holder = awaitLeaseHolder();
    fleet.setPlatformFaults("table", "{\"cutClients\":[\"" + holder + "\"]}");
    requestAction(otherEntry(holder), "stop");
    awaitRunning(false);
    assertThat(senders()).allMatch(sender -> sender.startsWith(otherEntry(holder) + "/"));
    fleet.setPlatformFaults("table", "{\"cutClients\":[]}");
    requestAction(holder, "start");
    awaitRunning(true);
    assertOneSenderAtATime();
  }

  @Test
  void aLeaseHolderKilledWithAnOrderInFlightBlocksTheZoneUntilItIsUnlisted() throws Exception {
    start(true);
    String holder = awaitLeaseHolder();
    fleet.setPlatformFaults("power", "{\"writeLatencyMillis\":3000}");
    requestAction(otherEntry(holder), "stop");
    awaitArrivals(1);
    fleet.process(holder).kill();
    fleet.setPlatformFaults("power", "{\"writeLatencyMillis\":0}");
    Thread.sleep(5000);
    requestAction(otherEntry(holder), "start");
    Thread.sleep(3000);
    assertThat(senders()).hasSize(1);
    fleet.unlistVm(holder);
    awaitRunning(true);
    assertOneSenderAtATime();
  }

  private void start(boolean platformIgnoresEpochs) throws Exception {
    FleetPlan plan = FleetPlan.small().withSizes(2, 2, 0);
    fleet = Fleet.start(platformIgnoresEpochs ? plan.withPlatformOptions("--ignore-epochs") : plan);
  }

  /** Requests an action on the upstream m1 in zone z1, retrying until an entry accepts it. */
  private void requestAction(String entry, String action) throws IOException, InterruptedException {
    for (int i = 0; i < 20; i++) {
      if (fleet.callOperatorApi(entry, "POST", "/upstreams/m1/" + action, "").status() == 200) {
        return;
      }
      Thread.sleep(200);
    }
    throw new IOException("the requested action was not accepted");
  }

  private static String otherEntry(String entry) {
    return entry.equals("e1") ? "e2" : "e1";
  }

  private String awaitLeaseHolder() throws IOException, InterruptedException {
    for (int i = 0; i < 200; i++) {
      for (String entry : new String[] {"e1", "e2"}) {
        String leases =
            fleet.callOperatorApi(entry, "GET", "/status", null).json().path("leases").toString();
        if (leases.contains("power.z1")) {
          return entry;
        }
      }
      Thread.sleep(50);
    }
    throw new IOException("no entry holds the lease of zone z1");
  }

  private void awaitArrivals(int count) throws IOException, InterruptedException {
    for (int i = 0; i < 400; i++) {
      int received =
          Http.call("GET", fleet.platformUrl() + "/v1/power-arrivals", Map.of(), null)
              .json()
              .path("arrivals")
              .asInt();
      if (received >= count) {
        return;
      }
      Thread.sleep(25);
    }
    throw new IOException("too few orders arrived");
  }

  private void awaitRunning(boolean running) throws IOException, InterruptedException {
    for (int i = 0; i < 300; i++) {
      JsonNode units =
          Http.call("GET", fleet.platformUrl() + "/v1/zones/z1/upstreams", Map.of(), null)
              .json()
              .path("upstreams");
      if (units.path(0).path("running").asBoolean() == running) {
        return;
      }
      Thread.sleep(100);
    }
    throw new IOException("m1 does not become running=" + running);
  }

  /** Asserts that epochs never decrease in the order in which the platform received the orders. */
  private void assertOneSenderAtATime() throws IOException, InterruptedException {
    List<Long> epochs = new ArrayList<>();
    journal().forEach(order -> epochs.add(order.path("epoch").asLong()));
    assertThat(epochs).isNotEmpty().isSorted();
  }

  private List<String> senders() throws IOException, InterruptedException {
    List<String> senders = new ArrayList<>();
    journal().forEach(order -> senders.add(order.path("sender").asText()));
    return senders.stream().distinct().toList();
  }

  private JsonNode journal() throws IOException, InterruptedException {
    return Http.call("GET", fleet.platformUrl() + "/v1/power-journal", Map.of(), null).json();
  }
}
