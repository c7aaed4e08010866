package org.limpetvale.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.limpetvale.ports.time.ThreadTimerService;
import org.limpetvale.wire.Open;
import org.limpetvale.wire.RunEvent;
import org.limpetvale.wire.ServiceCall;

/** Guards against an answer written twice by a service that is taken for the next call's. */
final class ExtraServiceAnswerTest {
  private static final long TIMEOUT_MILLIS = 2_000;

  private ServerSocket listener;
  private ThreadTimerService timer;
  private ServiceRunner runner;

  /** Whether the second copy is written with the first, instead of before the next answer. */
  private volatile boolean atOnce;

  @BeforeEach
  void startService() throws IOException {
    listener = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::accept);
    timer = ThreadTimerService.of();
    runner =
        new ServiceRunner(
            UpstreamHttpClient.of("http://127.0.0.1:" + listener.getLocalPort(), TIMEOUT_MILLIS),
            new UpstreamState(() -> true, timer));
  }

  @AfterEach
  void stopService() throws IOException {
    listener.close();
    timer.close();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return; // The test has ended.
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String owed = "";
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        String path = line.split(" ")[1];
        while (!in.readLine().isEmpty()) {}
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path;
        String sent = owed + answer + (atOnce ? answer : "");
        owed = atOnce ? "" : answer;
        socket.getOutputStream().write(sent.getBytes(StandardCharsets.ISO_8859_1));
      }
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }

  private String bodyOfAnswer(String path) {
    Open open =
        Open.newBuilder()
            .setRepeatable(true)
            .setServiceCall(ServiceCall.newBuilder().setMethod("GET").setPath(path))
            .build();
    return RecordedRun.events(runner, open, timer).stream()
        .filter(RunEvent::hasServiceAnswer)
        .map(each -> each.getServiceAnswer().getBody().toStringUtf8())
        .findFirst()
        .orElse("none");
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void eachCallGetsItsOwnAnswer(boolean secondCopyAtOnce) {
    atOnce = secondCopyAtOnce;
    List<String> paths = List.of("/1", "/2", "/3", "/4");
    assertThat(paths).allSatisfy(path -> assertThat(bodyOfAnswer(path)).isEqualTo(path));
  }
}
