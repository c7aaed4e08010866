package org.limpetvale.forward.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.http.Transport;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.testing.TestReports;
import org.limpetvale.forward.time.EventLoopTimer;

/** Guards against reports of several kilobytes, as sent under trouble, that no entry can read. */
final class LargePeerReportNotReadTest {
  private static final long TIMEOUT_SECONDS = 5;

  private final BlockingQueue<PeerReport> received = new LinkedBlockingQueue<>();

  private static PeerReport report(long number, int upstreams) {
    Map<String, PeerReport.Load> loads = new HashMap<>();
    for (int i = 0; i < upstreams; i++) {
      loads.put("i-upstream-" + i, new PeerReport.Load(12, 3_456, 7, 8, 100));
    }
    return TestReports.of("edge-1.boot", number, loads, Map.of());
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0))) {
      return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }
  }

  @ParameterizedTest
  @CsvSource({"1, true", "60, true", "60, false", "1300, true", "1300, false"})
  void aReportOfAnySizeOfTheFleetIsRead(int upstreams, boolean preferNative) throws Exception {
    InetSocketAddress from = freeAddress();
    InetSocketAddress to = freeAddress();
    EventLog log = EventLog.of(OutputStream.nullOutputStream(), "edge-1");
    try (Transport transport = Transport.of(preferNative)) {
      TimerService timer = EventLoopTimer.of(transport.loop(), log);
      PeerReports reports = PeerReports.of(timer);
      reports.onReport(received::add);
      PeerLink receiver =
          PeerLink.of(transport, to, reports, List::of, parts -> report(1, 1), timer, log);
      PeerLink sender =
          PeerLink.of(
              transport,
              from,
              PeerReports.of(timer),
              () -> List.of(to),
              parts -> report(parts.sequenceNumber(), upstreams),
              timer,
              log);
      transport.loop().execute(receiver::start);
      transport.loop().execute(sender::start);
      PeerReport first = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertThat(first).isNotNull();
      assertThat(first.loads()).hasSize(upstreams);
    }
  }
}
