package org.limpetvale.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.limpetvale.ports.time.ThreadTimerService;
import org.limpetvale.wire.Open;
import org.limpetvale.wire.RunEvent;
import org.limpetvale.wire.ServiceCall;

/** Guards against answers of a service that crashed while it sent them, passed on as whole. */
final class CutServiceAnswerTest {
  private static final long TIMEOUT_MILLIS = 2_000;

  private final AtomicBoolean healthy = new AtomicBoolean(true);
  private final List<RunEvent> events = new ArrayList<>();
  private volatile String answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"booking\":1";
  private ServerSocket listener;
  private ThreadTimerService timer;
  private ServiceRunner runner;

  @BeforeEach
  void startService() throws IOException {
    listener = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::serve);
    timer = ThreadTimerService.of();
    runner =
        new ServiceRunner(
            UpstreamHttpClient.of("http://127.0.0.1:" + listener.getLocalPort(), TIMEOUT_MILLIS),
            new UpstreamState(healthy::get, timer));
  }

  @AfterEach
  void stopService() throws IOException {
    listener.close();
    timer.close();
  }

  /** Answers each request without a length and closes the connection. */
  private void serve() {
    while (!listener.isClosed()) {
      try (Socket socket = listener.accept()) {
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {}
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
      } catch (IOException e) {
        // The client has closed the connection, or the test has ended.
      }
    }
  }

  private RunEvent run() {
    Open open =
        Open.newBuilder()
            .setServiceCall(ServiceCall.newBuilder().setMethod("GET").setPath("/a"))
            .build();
    events.addAll(RecordedRun.events(runner, open, timer));
    return events.getLast();
  }

  @Test
  void anAnswerWithoutALengthOfAServiceThatIsDownIsNotPassedOn() {
    healthy.set(false);
    RunEvent last = run();
    assertThat(last.getFailed().getUpstreamCrashed()).isTrue();
    assertThat(events).noneMatch(RunEvent::hasServiceAnswer);
  }

  @Test
  void anAnswerWithoutALengthOfARunningServiceIsPassedOn() {
    assertThat(run().hasFinished()).isTrue();
    assertThat(events).anyMatch(RunEvent::hasServiceAnswer);
  }

  @ParameterizedTest
  @ValueSource(strings = {"000", "0", "20", "099", "600", "999", "1000"})
  void anAnswerWithAStatusThatDoesNotExistIsNotPassedOn(String status) {
    answer = "HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\n{}";
    RunEvent last = run();
    assertThat(last.hasFailed()).isTrue();
    assertThat(last.getFailed().getUpstreamCrashed()).isFalse();
    assertThat(events).noneMatch(RunEvent::hasServiceAnswer);
  }

  @Test
  void aSizedAnswerThatIsCutOffAnywhereIsNotPassedOn() {
    String whole = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"booking\":1}";
    for (int length = 0; length < whole.length(); length++) {
      events.clear();
      answer = whole.substring(0, length);
      assertThat(run().hasFinished()).as("cut at %s", length).isFalse();
      assertThat(events).as("cut at %s", length).noneMatch(RunEvent::hasServiceAnswer);
    }
  }
}
