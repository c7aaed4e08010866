package org.limpetvale.forward.accept;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.limpetvale.core.fleet.CallerLimits;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.forward.http.Transport;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.time.EventLoopTimer;

/**
 * Guards against requests that are started although their caller had left before they were read.
 */
final class CallerLeftBeforeItsRequestWasReadTest {
  private static final int CALLERS = 20;
  private static final long CLOSES_ARRIVE_MILLIS = 100;
  private static final long TIMEOUT_SECONDS = 10;
  private static final String REQUEST = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n";

  private final AtomicInteger started = new AtomicInteger();

  private RequestHandler.ActiveRequest start(IncomingRequest request, ResponseWriter writer) {
    started.incrementAndGet();
    return new RequestHandler.ActiveRequest() {
      @Override
      public void onCallerDisconnected() {}

      @Override
      public void onBodyFailed(Refusal refusal) {}

      @Override
      public void onCallerWritable() {}
    };
  }

  private Channel listen(Transport transport) throws InterruptedException {
    CallerServer server =
        CallerServer.of(
            transport,
            EventLoopTimer.of(transport.loop(), EventLog.silent()),
            EventLog.silent(),
            () -> CallerLimits.DEFAULT,
            this::start);
    return server.listen(new InetSocketAddress("127.0.0.1", 0)).sync().channel();
  }

  private static Socket connect(Channel listener) throws IOException {
    InetSocketAddress address = (InetSocketAddress) listener.localAddress();
    return new Socket(address.getAddress(), address.getPort());
  }

  private static void send(Socket caller, int bodyBytes) throws IOException {
    OutputStream out = caller.getOutputStream();
    out.write(REQUEST.formatted(bodyBytes).getBytes(StandardCharsets.US_ASCII));
    out.write(new byte[bodyBytes]);
    out.flush();
  }

  /** Keeps the event loop from reading while an action of callers runs. */
  private static void whileTheLoopStandsStill(Transport transport, CallerAction action)
      throws IOException, InterruptedException {
    CountDownLatch standing = new CountDownLatch(1);
    CountDownLatch goesOn = new CountDownLatch(1);
    transport
        .loop()
        .execute(
            () -> {
              standing.countDown();
              await(goesOn);
            });
    await(standing);
    action.run();
    TimeUnit.MILLISECONDS.sleep(CLOSES_ARRIVE_MILLIS);
    goesOn.countDown();
  }

  private static void await(CountDownLatch latch) {
    try {
      assertThat(latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /** Waits until the event loop has read all input that had arrived. */
  private static void awaitReads(Transport transport) throws InterruptedException {
    for (int i = 0; i < 5; i++) {
      CountDownLatch passed = new CountDownLatch(1);
      transport.loop().schedule(passed::countDown, 20, TimeUnit.MILLISECONDS);
      await(passed);
    }
  }

  private interface CallerAction {
    void run() throws IOException;
  }

  /** Callers on kept connections send requests and leave before the entry reads any of them. */
  private void assertNoneIsStarted(boolean preferNative, int bodyBytes)
      throws IOException, InterruptedException {
    try (Transport transport = Transport.of(preferNative)) {
      Channel listener = listen(transport);
      List<Socket> callers = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        callers.add(connect(listener));
      }
      awaitReads(transport);
      whileTheLoopStandsStill(transport, () -> sendAndLeave(callers, bodyBytes));
      awaitReads(transport);
      assertThat(started).hasValue(0);
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void onAKeptConnectionItIsNotStarted(boolean preferNative)
      throws IOException, InterruptedException {
    assertNoneIsStarted(preferNative, 0);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void onANewConnectionItIsNotStarted(boolean preferNative)
      throws IOException, InterruptedException {
    try (Transport transport = Transport.of(preferNative)) {
      Channel listener = listen(transport);
      whileTheLoopStandsStill(transport, () -> connectSendAndLeave(listener));
      awaitReads(transport);
      assertThat(started).hasValue(0);
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void withABodyOfSeveralReadsItIsNotStarted(boolean preferNative)
      throws IOException, InterruptedException {
    assertNoneIsStarted(preferNative, 30_000);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void itIsStartedIfItsCallerIsStillThere(boolean preferNative)
      throws IOException, InterruptedException {
    try (Transport transport = Transport.of(preferNative)) {
      Channel listener = listen(transport);
      try (Socket caller = connect(listener)) {
        whileTheLoopStandsStill(transport, () -> send(caller, 0));
        awaitReads(transport);
        assertThat(started).hasValue(1);
      }
    }
  }

  private static void sendAndLeave(List<Socket> callers, int bodyBytes) throws IOException {
    for (Socket each : callers) {
      send(each, bodyBytes);
      each.close();
    }
  }

  private static void connectSendAndLeave(Channel listener) throws IOException {
    for (int i = 0; i < CALLERS; i++) {
      try (Socket caller = connect(listener)) {
        send(caller, 0);
      }
    }
  }
}
