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
 * Puts the requests of one connection together out of what the decoder reads.
 *
 * <p>A short body is read whole before its request begins, so that a slow caller holds no upstream;
 * a long one is passed on as it arrives, so that it need not be held.
 */
final class RequestAssembler {
  /** Body size above which a request begins before its body has arrived. */
  private static final long LONG_BODY_BYTES = 128 * 1024;

  private static final long MEMORY_RETRY_MILLIS = 1_000;

  /** What becomes of the requests. */
  interface Listener {
    /** The header of a request was read. */
    void headRead(HttpRequest head);

    /** A request may begin. */
    void begin(RequestInput input);

    /** The request that is being read is refused, and with it all that follows. */
    void refused(Refusal refusal);
  }

  private final CallerServer server;
  private final Listener listener;

  /** The request being read, or null. */
  private HttpRequest head;

  private RequestBody body;
  private long headMillis;
  private long bodyBytes;
  private boolean begun;

  RequestAssembler(CallerServer server, Listener listener) {
    this.server = server;
    this.listener = listener;
  }

  /** Tells whether a request has been read in part. */
  boolean isReading() {
    return head != null;
  }

  /** Tells whether the body of a request that has begun is still arriving. */
  boolean isBodyArriving() {
    return begun;
  }

  /** Drops the request that is being read. */
  void drop() {
    if (head != null && !begun) {
      body.close();
    }
    head = null;
    begun = false;
  }

  /** Takes what the decoder has read next. */
  void take(HttpObject object) {
    if (object.decoderResult().isFailure()) {
      ReferenceCountUtil.release(object);
      listener.refused(malformed(object.decoderResult().cause()));
      return;
    }
    if (object instanceof HttpRequest request) {
      takeHead(request);
    }
    if (object instanceof HttpContent content) {
      takeContent(content);
    }
  }

  private static Refusal malformed(Throwable cause) {
    if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
      return Refusal.of(ResultCode.HEADER_TOO_LARGE, "the header exceeds the limit");
    }
    return Refusal.of(ResultCode.REQUEST_MALFORMED, String.valueOf(cause.getMessage()));
  }

  private void takeHead(HttpRequest request) {
    Optional<Refusal> fault = HeadCheck.fault(request, server.limits());
    if (fault.isPresent()) {
      listener.refused(fault.get());
      return;
    }
    head = request;
    headMillis = server.timer().nowMillis();
    body = RequestBody.arriving(server.memory());
    bodyBytes = 0;
    begun = false;
    listener.headRead(request);
  }

  private void takeContent(HttpContent content) {
    try {
      if (head == null || !takeBytes(content.content())) {
        return;
      }
    } finally {
      content.release();
    }
    if (content instanceof LastHttpContent) {
      end();
    } else if (!begun && bodyBytes > LONG_BODY_BYTES) {
      begun = true;
      listener.begin(new RequestInput(head, body, headMillis));
    }
  }

  private boolean takeBytes(ByteBuf bytes) {
    int size = bytes.readableBytes();
    bodyBytes += size;
    if (bodyBytes > server.limits().maxBodyBytes()) {
      listener.refused(Refusal.of(ResultCode.BODY_TOO_LARGE, "the body exceeds the limit"));
      return false;
    }
    if (size == 0) {
      return true;
    }
    if (!server.memory().tryHold(size)) {
      if (!begun) {
        listener.refused(
            Refusal.of(ResultCode.MEMORY_SHORT, "too many bodies are held", MEMORY_RETRY_MILLIS));
        return false;
      }
      body.keepNoLonger();
      server.memory().hold(size);
    }
    byte[] copy = new byte[size];
    bytes.readBytes(copy);
    body.add(copy);
    return true;
  }

  private void end() {
    RequestInput input = new RequestInput(head, body, headMillis);
    boolean first = !begun;
    head = null;
    begun = false;
    input.body().end();
    if (first) {
      listener.begin(input);
    }
  }
}
