package org.limpetvale.forward.accept;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.util.Iterator;
import java.util.Map;
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

  /** Size below which pieces of a body that arrive together are joined. */
  private static final int SHORT_PIECE_BYTES = 1_024;

  /** Size of joined pieces from which they are passed on. */
  private static final int JOINED_BYTES = 4_096;

  private static final long BYTES_PER_HEAD = 512;
  private static final long BYTES_PER_HEADER_FIELD = 160;

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

  /** Short pieces of the body, which are reserved but not yet added to it. */
  private ByteArrayOutputStream joined = new ByteArrayOutputStream(0);

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

  /** Returns the memory that the request being read holds; 0 if it has been started. */
  long unstartedBytes() {
    return head != null && !started ? body.heldBytes() + joined.size() : 0;
  }

  /** Returns the time at which the header of the request being read had arrived. */
  long arrivedMillis() {
    return arrivedMillis;
  }

  /** Passes on the pieces of the body that were read together. */
  void onReadComplete() {
    if (joined.size() > 0) {
      byte[] bytes = joined.toByteArray();
      joined = new ByteArrayOutputStream(0);
      body.add(bytes);
    }
  }

  /** Discards the request being read. */
  void discard() {
    if (joined.size() > 0) {
      server.memory().release(joined.size());
      joined = new ByteArrayOutputStream(0);
    }
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
    long headBytes = headBytes(request);
    if (!server.reserve(headBytes)) {
      refuseForMemory();
      return;
    }
    head = request;
    arrivedMillis = server.timer().nowMillis();
    body = RequestBody.incoming(server.memory(), headBytes);
    bodyBytes = 0;
    started = false;
    listener.onHeadRead(request);
  }

  /** Returns the memory that the header of a request takes, about. */
  static long headBytes(HttpRequest request) {
    long bytes = BYTES_PER_HEAD + request.uri().length();
    Iterator<Map.Entry<CharSequence, CharSequence>> fields =
        request.headers().iteratorCharSequence();
    while (fields.hasNext()) {
      Map.Entry<CharSequence, CharSequence> field = fields.next();
      bytes += BYTES_PER_HEADER_FIELD + field.getKey().length() + field.getValue().length();
    }
    return bytes;
  }

  private void refuseForMemory() {
    listener.onRefused(memoryRefusal());
  }

  /** Returns the refusal of a request for which there is no memory left. */
  static Refusal memoryRefusal() {
    return Refusal.of(ResultCode.MEMORY_SHORT, "too much is held for callers", MEMORY_RETRY_MILLIS);
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
    if (!reserveForBody(size)) {
      return false;
    }
    byte[] copy = new byte[size];
    bytes.readBytes(copy);
    if (size >= SHORT_PIECE_BYTES) {
      onReadComplete();
      body.add(copy);
    } else {
      join(copy);
    }
    return true;
  }

  /**
   * Reserves memory for a part of the body; returns whether the request goes on. Making room may
   * have refused this very request.
   */
  private boolean reserveForBody(int size) {
    if (started && body.isBeingForwarded()) {
      if (!server.memory().tryReserve(size)) {
        body.discardDelivered();
        server.memory().reserve(size);
      }
      return true;
    }
    boolean reserved = server.reserve(size);
    if (reserved && head == null) {
      server.memory().release(size);
      return false;
    }
    if (!reserved && head != null) {
      refuseForMemory();
    }
    return reserved;
  }

  private void join(byte[] piece) {
    joined.writeBytes(piece);
    if (joined.size() >= JOINED_BYTES) {
      onReadComplete();
    }
  }

  private void finishRequest() {
    onReadComplete();
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
