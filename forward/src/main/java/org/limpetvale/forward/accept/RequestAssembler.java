package org.limpetvale.forward.accept;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.ResultCode;

/**
 * Assembles the requests of one connection from the decoder's output.
 *
 * <p>A short body is read completely before its request starts, so that a slow caller does not
 * occupy an upstream. A long body is forwarded as it arrives, so that it need not be held in
 * memory.
 */
final class RequestAssembler {
  /** Body size above which a request starts before its body has arrived completely. */
  private static final long STREAMING_THRESHOLD_BYTES = 128 * 1024;

  private static final long MEMORY_RETRY_MILLIS = 1_000;

  /** Receives the assembled requests. */
  interface Listener {
    /** Called when the header of a request has been read and is valid. */
    void onHeadRead(HttpRequest head);

    /** Called when a request can be started. */
    void onRequestReady(IncomingRequest request);

    /**
     * Called when the request being read is refused; no later request of the connection is served.
     */
    void onRefused(Refusal refusal);
  }

  private final CallerServer server;
  private final Listener listener;

  /** The header of the request being read; null if there is none. */
  private HttpRequest head;

  private RequestBody body;
  private long arrivedMillis;
  private long bodyBytes;
  private boolean started;

  RequestAssembler(CallerServer server, Listener listener) {
    this.server = server;
    this.listener = listener;
  }

  /** Returns whether a request has been read partially. */
  boolean isReading() {
    return head != null;
  }

  /** Returns whether the body of a started request is still arriving. */
  boolean isBodyArriving() {
    return started;
  }

  /** Discards the request being read. */
  void discard() {
    if (head != null && !started) {
      body.close();
    }
    head = null;
    started = false;
  }

  /** Accepts the next object from the decoder. */
  void accept(HttpObject object) {
    if (object.decoderResult().isFailure()) {
      ReferenceCountUtil.release(object);
      listener.onRefused(malformed(object.decoderResult().cause()));
      return;
    }
    if (object instanceof HttpRequest request) {
      acceptHead(request);
    }
    if (object instanceof HttpContent content) {
      acceptContent(content);
    }
  }

  private static Refusal malformed(Throwable cause) {
    if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
      return Refusal.of(ResultCode.HEADER_TOO_LARGE, "the header exceeds the limit");
    }
    return Refusal.of(ResultCode.REQUEST_MALFORMED, String.valueOf(cause.getMessage()));
  }

  private void acceptHead(HttpRequest request) {
    Optional<Refusal> refusal = RequestValidator.validate(request, server.limits());
    if (refusal.isPresent()) {
      listener.onRefused(refusal.get());
      return;
    }
    head = request;
    arrivedMillis = server.timer().nowMillis();
    body = RequestBody.incoming(server.memory());
    bodyBytes = 0;
    started = false;
    listener.onHeadRead(request);
  }

  private void acceptContent(HttpContent content) {
    try {
      if (head == null || !acceptBytes(content.content())) {
        return;
      }
    } finally {
      content.release();
    }
    if (content instanceof LastHttpContent) {
      finishRequest();
    } else if (!started && bodyBytes > STREAMING_THRESHOLD_BYTES) {
      started = true;
      listener.onRequestReady(IncomingRequest.of(head, body, arrivedMillis));
    }
  }

  private boolean acceptBytes(ByteBuf bytes) {
    int size = bytes.readableBytes();
    bodyBytes += size;
    if (bodyBytes > server.limits().maxBodyBytes()) {
      listener.onRefused(Refusal.of(ResultCode.BODY_TOO_LARGE, "the body exceeds the limit"));
      return false;
    }
    if (size == 0) {
      return true;
    }
    if (!server.memory().tryReserve(size)) {
      if (!started) {
        listener.onRefused(
            Refusal.of(ResultCode.MEMORY_SHORT, "too many bodies are held", MEMORY_RETRY_MILLIS));
        return false;
      }
      body.discardDelivered();
      server.memory().reserve(size);
    }
    byte[] copy = new byte[size];
    bytes.readBytes(copy);
    body.add(copy);
    return true;
  }

  private void finishRequest() {
    IncomingRequest request = IncomingRequest.of(head, body, arrivedMillis);
    boolean first = !started;
    head = null;
    started = false;
    request.body().complete();
    if (first) {
      listener.onRequestReady(request);
    }
  }
}
