package org.limpetvale.forward.accept;

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
}
