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

  private static final int RECEIVE_BUFFER_BYTES = 4_096;
  private static final int READ_TIMEOUT_MILLIS = 10_000;
  private static final long TIMEOUT_SECONDS = 10;

  private final CountDownLatch responded = new CountDownLatch(1);

  private RequestHandler.ActiveRequest respond(IncomingRequest request, ResponseWriter writer) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.OK,
            Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
    HttpUtil.setContentLength(response, BODY_BYTES);
    writer.writeFull(response);
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

  /** Reads the response to its end and returns the number of its bytes, header included. */
  private static long readToEnd(Socket caller) throws IOException {
    long bytes = 0;
    byte[] buffer = new byte[64 * 1024];
    try {
      for (int read = 0; read >= 0; read = caller.getInputStream().read(buffer)) {
        bytes += read;
      }
    } catch (IOException e) {
      // What arrived before the reset counts.
    }
    return bytes;
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void itIsDeliveredWhole(boolean preferNative) throws IOException, InterruptedException {
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
      caller
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      assertThat(responded.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
      transport.loop().submit(server::closeConnectionsAfterRequests).sync();
      transport.loop().submit(server::closeIdle).sync();
      assertThat(readToEnd(caller)).isGreaterThan(BODY_BYTES);
    }
  }
}
