package org.limpetvale.ports.http;

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

/** Guards against an answer written twice by the platform that is taken for the next call's. */
final class ExtraAnswerTest {
  private static final long TIMEOUT_MILLIS = 2_000;

  private ServerSocket listener;
  private JsonHttpClient http;

  /** Whether the second copy is written with the first, instead of before the next answer. */
  private volatile boolean atOnce;

  @BeforeEach
  void startServer() throws IOException {
    listener = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::accept);
    http = JsonHttpClient.of("http://127.0.0.1:" + listener.getLocalPort(), "test", TIMEOUT_MILLIS);
  }

  @AfterEach
  void stopServer() throws IOException {
    listener.close();
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
        String number = line.split(" ")[1].substring(1);
        while (!in.readLine().isEmpty()) {}
        String answer =
            "HTTP/1.1 200 OK\r\nContent-Length: " + number.length() + "\r\n\r\n" + number;
        String sent = owed + answer + (atOnce ? answer : "");
        owed = atOnce ? "" : answer;
        socket.getOutputStream().write(sent.getBytes(StandardCharsets.ISO_8859_1));
      }
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }

  private int answer(int number) {
    return http.call("GET", "/" + number, null)
            instanceof JsonHttpClient.Response.Replied(int ignored, var body)
        ? body.asInt()
        : -1;
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void eachCallGetsItsOwnAnswer(boolean secondCopyAtOnce) {
    atOnce = secondCopyAtOnce;
    assertThat(List.of(1, 2, 3, 4))
        .allSatisfy(number -> assertThat(answer(number)).isEqualTo(number));
  }
}
