package org.limpetvale.forward.accept;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.limpetvale.core.fleet.CallerLimits;
import org.limpetvale.forward.http.Transport;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.metrics.ForwardMetrics;
import org.limpetvale.forward.testing.ManualTimer;

/** Guards against requests that stop halfway and keep the memory that others need. */
final class StalledRequestsHoldAllMemoryTest {
  private static final int BUDGET_BYTES = 100_000;
  private static final int BODY_BYTES = 40_000;

  private final ManualTimer timer = new ManualTimer();
  private final Transport transport = Transport.of(false);
  private final List<EmbeddedChannel> channels = new ArrayList<>();
  private final CallerServer server =
      CallerServer.of(
          transport,
          timer,
          EventLog.silent(),
          () -> CallerLimits.DEFAULT,
          this::start,
          new CallerCapacity(BUDGET_BYTES, 3),
          ForwardMetrics.empty());
  private int started;

  @AfterEach
  void close() {
    channels.forEach(EmbeddedChannel::finishAndReleaseAll);
    transport.close();
  }

  private RequestHandler.ActiveRequest start(IncomingRequest request, ResponseWriter writer) {
    started++;
    writer.writeFull(ProblemResponses.of(RequestAssembler.memoryRefusal()));
    return null;
  }

  private EmbeddedChannel connect() {
    CallerConnection connection = new CallerConnection(server);
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.pipeline().addLast(connection.decoder(), new HttpResponseEncoder(), connection);
    connection.channelActive(channel.pipeline().lastContext());
    channels.add(channel);
    return channel;
  }

  private void send(EmbeddedChannel channel, String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    channel.runPendingTasks();
  }

  private void sendUnfinishedBody(EmbeddedChannel channel, int bytes) {
    String head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + (bytes + 1) + "\r\n\r\n";
    send(channel, head + "x".repeat(bytes));
  }

  private static String output(EmbeddedChannel channel) {
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(part.toString(StandardCharsets.ISO_8859_1));
      part.release();
    }
    return text.toString();
  }

  @Test
  void theOldestOfThemIsRefusedForANewRequest() {
    EmbeddedChannel oldest = connect();
    sendUnfinishedBody(oldest, BODY_BYTES);
    timer.advance(1_000);
    EmbeddedChannel newer = connect();
    sendUnfinishedBody(newer, BODY_BYTES);
    EmbeddedChannel newest = connect();
    sendUnfinishedBody(newest, BODY_BYTES);
    assertThat(output(oldest)).startsWith("HTTP/1.1 503").contains("not_run");
    assertThat(output(newer)).isEmpty();
    send(newest, "x");
    assertThat(started).isEqualTo(1);
  }

  @Test
  void theLongestSilentConnectionIsClosedForANewOne() {
    EmbeddedChannel oldest = connect();
    timer.advance(1_000);
    connect();
    connect();
    EmbeddedChannel newest = connect();
    assertThat(oldest.isOpen()).isFalse();
    assertThat(newest.isOpen()).isTrue();
  }

  @Test
  void aBodyInManyChunksHoldsLittleMoreThanItsBytes() {
    EmbeddedChannel channel = connect();
    send(channel, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    send(channel, "1\r\nx\r\n".repeat(BODY_BYTES));
    assertThat(server.heldBytes()).isLessThan(BODY_BYTES + BODY_BYTES / 10);
    send(channel, "0\r\n\r\n");
    assertThat(started).as(output(channel)).isEqualTo(1);
    assertThat(server.heldBytes()).isZero();
  }

  @Test
  void requestsSentAheadAreNotDecodedBeforeTheirTurn() {
    EmbeddedChannel channel = connect();
    String ahead = "GET / HTTP/1.1\r\nHost: h\r\n\r\n".repeat(200);
    channel.writeInbound(Unpooled.copiedBuffer(ahead, StandardCharsets.ISO_8859_1));
    assertThat(server.heldBytes()).isLessThan(16_384);
    channel.runPendingTasks();
    assertThat(started).isEqualTo(200);
    assertThat(output(channel).split("HTTP/1.1 503", -1)).hasSize(201);
    assertThat(server.heldBytes()).isZero();
  }

  @Test
  void requestsSentAheadWaitWhileAnswersAreNotRead() {
    EmbeddedChannel channel = connect();
    channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
    send(channel, "GET / HTTP/1.1\r\nHost: h\r\n\r\n".repeat(20));
    assertThat(started).isZero();
    channel.unsafe().outboundBuffer().setUserDefinedWritability(1, true);
    channel.runPendingTasks();
    assertThat(started).isEqualTo(20);
  }
}
