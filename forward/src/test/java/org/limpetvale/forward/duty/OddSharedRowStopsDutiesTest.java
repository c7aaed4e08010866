package org.limpetvale.forward.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.forward.spi.DutyClient;
import org.limpetvale.forward.spi.DutyReply;
import org.limpetvale.forward.spi.RowTransaction;
import org.limpetvale.forward.testing.InMemoryStore;
import org.limpetvale.forward.testing.ManualTimer;
import org.limpetvale.forward.testing.ProcessLifecycle;

/** Guards against one odd row of the shared table that stops the duties of all entries. */
final class OddSharedRowStopsDutiesTest {
  private static final long WINDOW_MILLIS = 5_000;
  private static final long SETTLE_MILLIS = 3_000;
  private static final StoreVersion VERSION = StoreVersion.of(1);

  private final ManualTimer timer = new ManualTimer();
  private final InMemoryStore store = new InMemoryStore(timer, new Random(1));
  private final DutyProcess.Environment environment =
      DutyProcess.Environment.of(timer, store, WINDOW_MILLIS, SETTLE_MILLIS);

  /** The reported counts by window. */
  private final Map<Long, Map<String, Long>> reports = new TreeMap<>();

  private final class Client implements DutyClient {
    @Override
    public CompletableFuture<DutyReply> reportUsage(
        String holder, long fencingToken, long window, Map<String, Long> counts) {
      reports.put(window, counts);
      return CompletableFuture.completedFuture(new DutyReply.Taken());
    }

    @Override
    public CompletableFuture<DutyReply> orderUpstreams(
        String holder, long fencingToken, String service, String zone, int desiredCount) {
      throw new UnsupportedOperationException("no service is scaled");
    }
  }

  private record OddRow(String key, String text) {}

  private static Stream<OddRow> oddRows() {
    String nested = "{\"counts\":".repeat(60_000);
    Stream<OddRow> keys =
        Stream.of(
                "usage/",
                "usage/x/y",
                "usage/1",
                "usage/-1/y",
                "usage/99999999999999999999/y",
                "usage/9223372036854775807/y",
                "report/",
                "report/abc",
                "report/-1",
                "report/99999999999999999999",
                "report/9223372036854775807",
                "era/",
                "era/x",
                "other/x")
            .flatMap(
                key ->
                    Stream.of("{\"taken\":true,\"closed\":true,\"counts\":{\"w\":1}}", "", nested)
                        .map(text -> new OddRow(key, text)));
    Stream<OddRow> members =
        Stream.of(
                "{\"host\":\"127.0.0.1\",\"port\":70000}",
                "{\"host\":\"127.0.0.1\",\"port\":-1}",
                "{\"host\":\"127.0.0.1\",\"port\":1e400}",
                "{\"host\":\"unknown.example\",\"port\":80}",
                "{\"left\":true,\"crashes\":[7]}",
                "{\"left\":true,\"parts\":[7]}",
                "null",
                nested)
            .map(text -> new OddRow("member/odd", text));
    return Stream.concat(keys, members);
  }

  private void put(String key, String text) {
    store
        .clientOf(new ProcessLifecycle())
        .commit(RowTransaction.of(List.of(new RowTransaction.Write(key, text))));
    timer.advance(100);
  }

  @ParameterizedTest
  @MethodSource("oddRows")
  void usageIsReportedBesideAnOddRow(OddRow odd) {
    put(odd.key(), odd.text());
    DutyProcess process =
        DutyProcess.start(environment, "edge-1", "b", life -> new Client(), () -> 0);
    process.usage.requestStarted("first");
    timer.advance(20_000);
    assertThat(reports.values()).contains(Map.of("first", 1L));
    process.usage.requestStarted("second");
    timer.advance(20_000);
    assertThat(reports.values()).contains(Map.of("second", 1L));
  }

  @ParameterizedTest
  @MethodSource("oddRows")
  void usageIsReportedAfterAnOddRowHasCome(OddRow odd) {
    DutyProcess process =
        DutyProcess.start(environment, "edge-1", "b", life -> new Client(), () -> 0);
    timer.advance(20_000);
    put(odd.key(), odd.text());
    process.usage.requestStarted("first");
    timer.advance(20_000);
    assertThat(reports.values()).contains(Map.of("first", 1L));
  }

  @Test
  void oddCountsOfAnotherWriterAreNotReported() {
    DutyProcess process =
        DutyProcess.start(environment, "edge-1", "b", life -> new Client(), () -> 0);
    timer.advance(20_000);
    long window = process.usage.currentWindow();
    process.usage.requestStarted("first");
    List<String> odd = List.of("-5", "1e400", "1" + "0".repeat(30), "\"7\"", "9223372036854775807");
    for (String count : odd) {
      String key = "usage/" + window + "/odd" + odd.indexOf(count);
      put(key, "{\"closed\":true,\"counts\":{\"first\":" + count + "}}");
    }
    timer.advance(20_000);
    assertThat(reports.get(window)).isEqualTo(Map.of("first", 1L));
  }

  private static Optional<InetSocketAddress> addressOf(String host, String port) {
    String text = "{\"host\":\"" + host + "\",\"port\":" + port + ",\"beat\":1}";
    return FleetRows.parseMember(VERSION, text).flatMap(Members.Row::address);
  }

  @Test
  void aMemberWithoutANumericAddressHasNone() {
    for (String port : List.of("0", "-1", "65536", "4294967376", "1e400", "\"80\"", "null")) {
      assertThat(addressOf("127.0.0.1", port)).as(port).isEmpty();
    }
    for (String host : List.of("", "unknown.example", "localhost", "127.0.0", "1", "a b")) {
      assertThat(addressOf(host, "80")).as(host).isEmpty();
    }
    assertThat(addressOf("127.0.0.1", "80")).contains(new InetSocketAddress("127.0.0.1", 80));
    assertThat(addressOf("::1", "80")).contains(new InetSocketAddress("::1", 80));
  }

  @Test
  void anEntryWhoseAddressIsGivenAsANameWritesItsNumbers() {
    String text =
        FleetRows.encodeMember(new InetSocketAddress("localhost", 80), 1, SharedSuspects.none());
    assertThat(FleetRows.parseMember(VERSION, text).flatMap(Members.Row::address))
        .contains(new InetSocketAddress("localhost", 80));
  }

  @Test
  void anOddLeaseRowIsReplacedUnderAHigherTokenAndNoTokenIsGivenOutAgain() {
    DutyProcess process =
        DutyProcess.start(environment, "edge-1", "b", life -> new Client(), () -> 0);
    timer.advance(20_000);
    List<String> odd =
        List.of(
            "",
            "null",
            "{}",
            "{\"duty\":\"duties\",\"holder\":\"x\",\"epoch\":1e400,\"durationMillis\":4000}",
            "{\"duty\":\"duties\",\"holder\":\"x\",\"epoch\":1,\"token\":\"t\","
                + "\"durationMillis\":9000000000000000000}");
    for (String text : odd) {
      long token = epoch();
      put(FleetRows.LEASE_KEY, text);
      process.usage.requestStarted("w" + odd.indexOf(text));
      timer.advance(30_000);
      assertThat(epoch()).as(text).isGreaterThan(token);
      assertThat(reports.values()).as(text).contains(Map.of("w" + odd.indexOf(text), 1L));
    }
  }

  private long epoch() {
    return FleetRows.parseLease(store.texts().get(FleetRows.LEASE_KEY)).orElseThrow().epoch();
  }

  @Test
  void anOddRowOfTheErasIsReplacedAndLaterWindowsAreReported() {
    put(FleetRows.eraKey(0), "null");
    DutyProcess process =
        DutyProcess.start(environment, "edge-1", "b", life -> new Client(), () -> 0);
    for (String text : List.of("", "{}", "{\"firstWindow\":1e400}")) {
      timer.advance(20_000);
      process.usage.requestStarted("w" + text);
      timer.advance(20_000);
      assertThat(reports.values()).as("before " + text).contains(Map.of("w" + text, 1L));
      put(FleetRows.eraKey(0), text);
    }
  }
}
