package org.limpetvale.forward.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against an answer written twice on a connection that is taken for the next call's. */
final class ExtraAnswerTakenForNextCallTest {
  private static final int CALLS = 20;
  private static final long CALL_TIMEOUT_MILLIS = 2_000;
  private static final long LATE_MILLIS = 3;

  private final Transport transport = Transport.of(true);
  private ServerSocket listener;

  /** When the server writes an answer once more. */
  private enum Time {
    SAME_SEGMENT,
    SPLIT,
    SHORTLY_AFTER,
    BEFORE_NEXT_ANSWER
  }

  @AfterEach
  void stop() throws IOException {
    transport.close();
    listener.close();
  }

  private HttpCaller start(Time time) throws IOException {
    listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(() -> accept(time));
    return HttpCaller.of(transport, (InetSocketAddress) listener.getLocalSocketAddress());
  }

  private void accept(Time time) {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        Thread.ofVirtual().start(() -> serve(socket, time));
      } catch (IOException e) {
        return; // The test has ended.
      }
    }
  }

  private static void serve(Socket socket, Time time) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      OutputStream out = socket.getOutputStream();
      String owed = "";
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        String path = line.split(" ")[1];
        while (!in.readLine().isEmpty()) {}
        send(out, owed);
        owed = answer(out, time, path);
      }
    } catch (IOException | InterruptedException e) {
      // The peer has closed the connection.
    }
  }

  /** Answers a call; returns what is to be sent before the next answer. */
  private static String answer(OutputStream out, Time time, String path)
      throws IOException, InterruptedException {
    String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path;
    int half = answer.length() / 2;
    switch (time) {
      case SAME_SEGMENT -> send(out, answer + answer);
      case SPLIT -> {
        send(out, answer + answer.substring(0, half));
        return answer.substring(half);
      }
      case SHORTLY_AFTER -> {
        send(out, answer);
        Thread.sleep(LATE_MILLIS);
        send(out, answer);
      }
      case BEFORE_NEXT_ANSWER -> {
        send(out, answer);
        return answer;
      }
    }
    return "";
  }

  private static void send(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private HttpResult call(HttpCaller caller, String path) {
    CompletableFuture<HttpResult> result = new CompletableFuture<>();
    transport
        .loop()
        .execute(
            () ->
                caller.call(HttpCall.get(path, CALL_TIMEOUT_MILLIS)).thenAccept(result::complete));
    return result.orTimeout(2 * CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
  }

  @ParameterizedTest
  @EnumSource(Time.class)
  void eachCallGetsItsOwnAnswer(Time time) throws IOException {
    HttpCaller caller = start(time);
    List<String> paths = new ArrayList<>();
    List<String> answers = new ArrayList<>();
    for (int number = 0; number < CALLS; number++) {
      String path = "/" + number;
      paths.add(path);
      answers.add(
          call(caller, path) instanceof HttpResult.Response response ? response.body() : "none");
    }
    assertThat(answers).isEqualTo(paths);
  }
}
