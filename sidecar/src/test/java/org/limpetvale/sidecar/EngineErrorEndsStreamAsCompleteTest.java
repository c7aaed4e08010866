package org.limpetvale.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.ports.time.ThreadTimerService;
import org.limpetvale.wire.ModelCall;
import org.limpetvale.wire.Open;
import org.limpetvale.wire.RunEvent;

/** Guards against an engine's error within its stream that is taken for the end of the answer. */
final class EngineErrorEndsStreamAsCompleteTest {
  private static final long TIMEOUT_MILLIS = 2_000;
  private static final String TOKEN =
      "data: {\"choices\":[{\"delta\":{\"content\":\" a\"},\"finish_reason\":null}]}\n\n";
  private static final String DONE = "data: [DONE]\n\n";
  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

  private final List<RunEvent> events = new ArrayList<>();
  private ServerSocket listener;
  private ThreadTimerService timer;
  private ModelRunner runner;
  private volatile String answer;

  @BeforeEach
  void startEngine() throws IOException {
    listener = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::serve);
    timer = ThreadTimerService.of();
    runner =
        new ModelRunner(
            UpstreamHttpClient.of("http://127.0.0.1:" + listener.getLocalPort(), TIMEOUT_MILLIS),
            new UpstreamState(() -> true, timer),
            timer,
            new AtomicReference<>(Rates.empty()));
  }

  @AfterEach
  void stopEngine() throws IOException {
    listener.close();
    timer.close();
  }

  /** Answers each request and closes the connection. */
  private void serve() {
    while (!listener.isClosed()) {
      try (Socket socket = listener.accept()) {
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        int length = 0;
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
          if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
            length = Integer.parseInt(line.substring("content-length:".length()).strip());
          }
        }
        for (int i = 0; i < length; i++) {
          in.read();
        }
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
      } catch (IOException e) {
        // The client has closed the connection, or the test has ended.
      }
    }
  }

  /** Continues a text of two tokens and returns the last event. */
  private RunEvent run(String engineAnswer) {
    answer = engineAnswer;
    Open open =
        Open.newBuilder()
            .setModelCall(
                ModelCall.newBuilder()
                    .setBody(ByteString.copyFromUtf8("{\"messages\":[]}"))
                    .setContinuedText(" x y")
                    .setContinuedTokens(2))
            .build();
    events.addAll(RecordedRun.events(runner, open, timer));
    return events.getLast();
  }

  static Stream<Arguments> errorsWithinAStream() {
    return Stream.of(
            "data: {\"error\":{\"message\":\"no memory\",\"code\":500}}\n\n",
            "data: {\"error\":\"no memory\"}\n\n",
            "event: error\ndata: {\"error\":{\"message\":\"no memory\"}}\n\n",
            "data: {\"error\":{\"message\":\"no memory\"},\"choices\":[{\"delta\":"
                + "{\"content\":\"no memory\"},\"finish_reason\":\"error\"}]}\n\n")
        .flatMap(error -> Stream.of(Arguments.of(0, error), Arguments.of(1, error)));
  }

  @ParameterizedTest
  @MethodSource("errorsWithinAStream")
  void anErrorWithinAStreamIsNeitherTextNorTheEndOfTheAnswer(int tokensBefore, String error) {
    RunEvent last = run(STREAM_HEAD + TOKEN.repeat(tokensBefore) + error + DONE);
    assertThat(last.hasFailed()).as("%s", last).isTrue();
    assertThat(last.getFailed().getCode())
        .as("%s", last)
        .isEqualTo(ResultCode.UPSTREAM_ERROR.number());
    assertThat(events).hasSize(tokensBefore + 1);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 500 Oops\r\nConnection: close\r\n\r\n" + TOKEN + DONE,
        "HTTP/1.1 500 Oops\r\nContent-Length: 99\r\nConnection: close\r\n\r\nno memory",
        "HTTP/1.1 206 Partial Content\r\nConnection: close\r\n\r\n" + TOKEN + DONE,
        "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"error\":\"no memory\"}",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: no memory\n\n" + DONE,
        "no memory\r\n\r\n",
        "HTTP/1.1 500",
      })
  void anErrorInPlaceOfAStreamIsNeitherTextNorTheEndOfTheAnswer(String engineAnswer) {
    assertThat(run(engineAnswer).hasFailed()).isTrue();
    assertThat(events).hasSize(1);
  }

  @Test
  void aStreamThatNamesNoErrorIsComplete() {
    String last =
        "data: {\"error\":null,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";
    assertThat(run(STREAM_HEAD + TOKEN + last + DONE).hasFinished()).isTrue();
    assertThat(events).hasSize(2);
  }

  @ParameterizedTest
  @ValueSource(strings = {"000", "99", "600"})
  void anAnswerWithAStatusThatDoesNotExistEndsTheAttemptAsFailed(String status) {
    RunEvent last = run("HTTP/1.1 " + status + " OK\r\nConnection: close\r\n\r\n" + TOKEN + DONE);
    assertThat(last.hasFailed()).isTrue();
    assertThat(events).noneMatch(RunEvent::hasFinished);
  }
}
