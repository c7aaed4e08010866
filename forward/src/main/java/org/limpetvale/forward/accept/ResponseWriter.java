package org.limpetvale.forward.accept;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/** Writes the response to the caller of one request. */
public interface ResponseWriter {
  /**
   * Writes the status line and headers.
   *
   * @param endsWithConnection whether only the end of the connection marks the end of the body
   */
  void writeHead(HttpResponse head, boolean endsWithConnection);

  /** Writes a part of the body; takes ownership of its reference count. */
  void writeContent(HttpContent content);

  /** Flushes what has been written. */
  void flush();

  /**
   * Completes the response; the connection may then serve the next request, unless the body ends
   * with it.
   */
  void finish();

  /** Writes a full response and completes it. */
  void writeFull(FullHttpResponse response);

  /**
   * Aborts a response that cannot be completed, in a way that the caller cannot mistake for its
   * end.
   */
  void abort();

  /** Returns whether more can be written without exceeding the connection's write buffer. */
  boolean isWritable();
}
