package org.limpetvale.ports.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetvale.ports.CommitResult;
import org.limpetvale.ports.ReadResult;
import org.limpetvale.ports.Transaction;

/** Guards against answers without a length that were cut and are taken for empty ones. */
final class CutAnswerTest {
  private static final long TIMEOUT_MILLIS = 2_000;

  private ServerSocket listener;
  private JsonHttpClient http;
  private volatile String head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
  private volatile String body = "";

  @BeforeEach
  void startServer() throws IOException {
    listener = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::serve);
    http = JsonHttpClient.of("http://127.0.0.1:" + listener.getLocalPort(), "test", TIMEOUT_MILLIS);
  }

  @AfterEach
  void stopServer() throws IOException {
    listener.close();
  }

  private void serve() {
    while (!listener.isClosed()) {
      try (Socket socket = listener.accept()) {
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        int length = 0;
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
          String[] parts = line.split(": ", 2);
          length =
              parts[0].equalsIgnoreCase("Content-Length") ? Integer.parseInt(parts[1]) : length;
        }
        in.skip(length);
        String answer = head + body;
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
      } catch (IOException e) {
        // The client has closed the connection, or the test has ended.
      }
    }
  }

  @Test
  void aTableThatWasCutIsNotEmpty() {
    String whole = "{\"rows\":[]}";
    for (int length = 0; length < whole.length(); length++) {
      body = whole.substring(0, length);
      assertThat(HttpTable.of(http).scan("a", "", 10))
          .as("cut after " + length)
          .isInstanceOf(ReadResult.Unavailable.class);
    }
    body = whole;
    assertThat(HttpTable.of(http).scan("a", "", 10)).isInstanceOf(ReadResult.Success.class);
  }

  @Test
  void aRowThatWasCutIsNotRead() {
    body = "";
    assertThat(HttpTable.of(http).get("a")).isInstanceOf(ReadResult.Unavailable.class);
  }

  @Test
  void aCommitWhoseAnswerWasCutIsUnknown() {
    body = "";
    assertThat(HttpTable.of(http).commit(Transaction.put("a", 0, "b")))
        .isInstanceOf(CommitResult.Unknown.class);
  }

  @Test
  void anObjectThatWasCutIsNotEmpty() {
    body = "";
    assertThat(HttpObjectStore.of(http).get("a")).isInstanceOf(ReadResult.Unavailable.class);
  }

  @Test
  void aVmListThatWasCutIsNotEmpty() {
    body = "";
    assertThat(HttpVmList.of(http).list()).isInstanceOf(ReadResult.Unavailable.class);
  }

  @Test
  void anAnswerThatWasCutWithinItsHeadIsNoSuccess() {
    String whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for (int length = 0; length < whole.length(); length++) {
      head = whole.substring(0, length);
      assertThat(http.call("PUT", "/a", null))
          .as("cut after " + length)
          .isInstanceOf(JsonHttpClient.Response.Lost.class);
    }
    head = whole;
    assertThat(http.call("PUT", "/a", null)).isInstanceOf(JsonHttpClient.Response.Replied.class);
  }
}
