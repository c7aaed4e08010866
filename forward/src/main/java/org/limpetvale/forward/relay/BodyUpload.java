package org.limpetvale.forward.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.function.Consumer;
import org.limpetvale.forward.accept.RequestBody;

/**
 * Forwards the body of a request to its upstream as it arrives and as the connection accepts it.
 */
final class BodyUpload implements RequestBody.Reader {
  private final Channel channel;
  private final RequestBody body;
  private final Runnable onWritten;
  private final Consumer<Throwable> onWriteFailed;

  /**
   * Creates an upload that is not started.
   *
   * @param onWritten run once the whole body has been written
   * @param onWriteFailed receives the cause when a part could not be written
   */
  BodyUpload(
      Channel channel, RequestBody body, Runnable onWritten, Consumer<Throwable> onWriteFailed) {
    this.channel = channel;
    this.body = body;
    this.onWritten = onWritten;
    this.onWriteFailed = onWriteFailed;
  }

  void start() {
    body.attach(this);
  }

  /** Resumes after the channel has become writable. */
  void resume() {
    body.deliver();
  }

  /** Stops the upload; another reader may then read the body. */
  void stop() {
    body.detach(this);
  }

  @Override
  public boolean isReady() {
    return channel.isActive() && channel.isWritable();
  }

  @Override
  public void onPart(byte[] bytes) {
    channel
        .writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        .addListener(this::reportFailure);
  }

  @Override
  public void onEnd() {
    channel
        .writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        .addListener(
            written -> {
              if (written.isSuccess()) {
                onWritten.run();
              } else {
                reportFailure(written);
              }
            });
  }

  private void reportFailure(Future<?> written) {
    if (!written.isSuccess()) {
      onWriteFailed.accept(written.cause());
    }
  }
}
