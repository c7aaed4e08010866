package org.limpetvale.forward.accept;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/** The way back to the caller of one request. */
public interface ResponseWriter {
  /** Writes the header of an answer. */
  void writeHead(HttpResponse head);

  /** Writes a part of an answer; takes over the reference to it. */
  void writeContent(HttpContent content);

  /** Sends what was written. */
  void flush();

  /** Ends the answer; the connection may carry the next request. */
  void finish();

  /** Answers in one piece and ends. */
  void writeFull(FullHttpResponse whole);

  /** Ends an answer that cannot be completed, so that it does not look complete. */
  void abort();

  /** Tells whether the caller reads fast enough for more to be written. */
  boolean isWritable();
}
