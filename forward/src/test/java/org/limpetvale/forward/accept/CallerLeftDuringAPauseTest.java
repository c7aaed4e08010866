package org.limpetvale.forward.accept;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.CallerLimits;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.forward.http.Transport;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.testing.ManualTimer;

/** Guards against requests that are started after a pause although their caller has left. */
final class CallerLeftDuringAPauseTest {
  private static final long PAUSE_MILLIS = 500;
  private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

  private final ManualTimer timer = new ManualTimer();
  private final Transport transport = Transport.of(false);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private int started;

  CallerLeftDuringAPauseTest() {
    CallerServer server =
        CallerServer.of(
            transport, timer, EventLog.silent(), () -> CallerLimits.DEFAULT, this::start);
    CallerConnection connection = new CallerConnection(server);
    channel.pipeline().addLast(connection.decoder(), new HttpResponseEncoder(), connection);
    connection.channelActive(channel.pipeline().lastContext());
  }

  @AfterEach
  void closeTransport() {
    transport.close();
  }

  private RequestHandler.ActiveRequest start(IncomingRequest request, ResponseWriter writer) {
    started++;
    return new RequestHandler.ActiveRequest() {
      @Override
      public void onCallerDisconnected() {}

      @Override
      public void onBodyFailed(Refusal refusal) {}

      @Override
      public void onCallerWritable() {}
    };
  }

  /** Reads a request, and runs an action before the event loop goes on to other tasks. */
  private void readRequestThen(Runnable action) {
    channel
        .eventLoop()
        .execute(
            () -> {
              ByteBuf bytes = Unpooled.copiedBuffer(REQUEST, StandardCharsets.US_ASCII);
              channel.pipeline().fireChannelRead(bytes);
              action.run();
            });
    channel.runPendingTasks();
  }

  @Test
  void aRequestIsStartedOnceItsInputIsProcessed() {
    readRequestThen(() -> assertThat(started).isZero());
    assertThat(started).isEqualTo(1);
  }

  @Test
  void aRequestReadBeforeAPauseIsNotStartedIfItsCallerHasLeftMeanwhile() {
    readRequestThen(() -> timer.advance(PAUSE_MILLIS));
    assertThat(started).isZero();
    channel.close();
    timer.advance(PAUSE_MILLIS);
    assertThat(started).isZero();
  }

  @Test
  void aRequestReadBeforeASuspensionOfTheVmIsNotStartedIfItsCallerHasLeftMeanwhile() {
    readRequestThen(() -> timer.stepWall(PAUSE_MILLIS));
    channel.close();
    timer.advance(PAUSE_MILLIS);
    assertThat(started).isZero();
  }

  @Test
  void aStartIsPutOffOnceHoweverSlowTheEventLoopIs() {
    readRequestThen(() -> timer.advance(PAUSE_MILLIS));
    timer.advance(PAUSE_MILLIS);
    assertThat(started).isEqualTo(1);
  }

  @Test
  void aRequestReadBeforeAPauseIsStartedIfItsCallerIsStillThere() {
    readRequestThen(() -> timer.advance(PAUSE_MILLIS));
    timer.advance(1);
    assertThat(started).isEqualTo(1);
  }
}
