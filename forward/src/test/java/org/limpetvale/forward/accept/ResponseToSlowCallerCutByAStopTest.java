package org.limpetvale.forward.accept;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.limpetvale.core.fleet.CallerLimits;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.forward.http.Transport;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.time.EventLoopTimer;

/**
 * Guards against a planned stop that closes a connection as idle while a part of its last response
 * still waits for a caller that reads slowly.
 */
final class ResponseToSlowCallerCutByAStopTest {
  /** More than the kernel buffers of both sides hold. */
  private static final int BODY_BYTES = 24 * 1024 * 1024;

  private static final byte[] REFUSAL = "refused".getBytes(StandardCharsets.US_ASCII);
  private static final int MAX_LAST_CHARS = 300;
  private static final long ARRIVAL_MILLIS = 200;
  private static final int RECEIVE_BUFFER_BYTES = 4_096;
  private static final int READ_TIMEOUT_MILLIS = 10_000;
  private static final long TIMEOUT_SECONDS = 10;

  private final CountDownLatch responded = new CountDownLatch(1);

  private RequestHandler.ActiveRequest respond(IncomingRequest request, ResponseWriter writer) {
    writer.writeFull(
        request.mayOnlyBeRefused()
            ? response(HttpResponseStatus.SERVICE_UNAVAILABLE, REFUSAL)
            : response(HttpResponseStatus.OK, new byte[BODY_BYTES]));
    responded.countDown();
    return new RequestHandler.ActiveRequest() {
      @Override
      public void onCallerDisconnected() {}

      @Override
      public void onBodyFailed(Refusal refusal) {}

      @Override
      public void onCallerWritable() {}
    };
  }

  private static FullHttpResponse response(HttpResponseStatus status, byte[] body) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
    HttpUtil.setContentLength(response, body.length);
    return response;
  }

  /** Reads to the end of the connection and returns the number of bytes and the last of them. */
  private static Received readToEnd(Socket caller) throws IOException {
    long bytes = 0;
    byte[] buffer = new byte[64 * 1024];
    String last = "";
    try {
      for (int read = 0; read >= 0; read = caller.getInputStream().read(buffer)) {
        bytes += read;
        String text = last + new String(buffer, 0, read, StandardCharsets.ISO_8859_1);
        last = text.substring(Math.max(0, text.length() - MAX_LAST_CHARS));
      }
    } catch (IOException e) {
      // What arrived before the reset counts.
    }
    return new Received(bytes, last);
  }

  private record Received(long bytes, String last) {}

  private static void send(Socket caller) throws IOException {
    caller
        .getOutputStream()
        .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
  }

  /** Stops a server while a response waits for its caller, which may send another request then. */
  private Received receivedAcrossStop(boolean preferNative, boolean sendsAnother)
      throws IOException, InterruptedException {
    try (Transport transport = Transport.of(preferNative);
        Socket caller = new Socket()) {
      CallerServer server =
          CallerServer.of(
              transport,
              EventLoopTimer.of(transport.loop(), EventLog.silent()),
              EventLog.silent(),
              () -> CallerLimits.DEFAULT,
              this::respond);
      Channel listener = server.listen(new InetSocketAddress("127.0.0.1", 0)).sync().channel();
      caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      caller.setSoTimeout(READ_TIMEOUT_MILLIS);
      caller.connect(listener.localAddress());
      send(caller);
      assertThat(responded.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
      transport.loop().submit(server::closeConnectionsAfterRequests).sync();
      transport.loop().submit(server::closeIdle).sync();
      if (sendsAnother) {
        send(caller);
        TimeUnit.MILLISECONDS.sleep(ARRIVAL_MILLIS);
      }
      return readToEnd(caller);
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void itIsDeliveredWhole(boolean preferNative) throws IOException, InterruptedException {
    assertThat(receivedAcrossStop(preferNative, false).bytes()).isGreaterThan(BODY_BYTES);
  }

  /** Guards against requests that are read and discarded while a response is still delivered. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aRequestThatArrivesMeanwhileIsRefused(boolean preferNative)
      throws IOException, InterruptedException {
    Received received = receivedAcrossStop(preferNative, true);
    assertThat(received.bytes()).isGreaterThan(BODY_BYTES);
    assertThat(received.last()).contains("HTTP/1.1 503").endsWith("refused");
  }
}
