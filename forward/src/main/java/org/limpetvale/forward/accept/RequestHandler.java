package org.limpetvale.forward.accept;

import io.netty.handler.codec.http.HttpRequest;
import org.limpetvale.core.result.Refusal;

/** Serves the requests read from callers' connections. */
public interface RequestHandler {

  /** A request that is being served. */
  interface ActiveRequest {
    /** Ends the request because its caller has disconnected. */
    void onCallerDisconnected();

    /**
     * Ends the request because the rest of its body will not arrive.
     *
     * @param refusal the reason
     */
    void onBodyFailed(Refusal refusal);

    /** Resumes a response that was paused until the caller read more. */
    void onCallerWritable();
  }

  /**
   * Starts serving a request.
   *
   * @param request the request
   * @param responseWriter writes the response to its caller
   */
  ActiveRequest handle(IncomingRequest request, ResponseWriter responseWriter);

  /**
   * Records that a request whose header was read will get no response, as its connection ends
   * before its turn.
   *
   * @param head the request line and headers
   * @param cause why the connection ends
   */
  default void requestDropped(HttpRequest head, String cause) {}
}
