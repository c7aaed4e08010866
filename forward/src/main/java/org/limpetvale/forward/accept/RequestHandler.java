package org.limpetvale.forward.accept;

import org.limpetvale.core.result.Refusal;

/** Serves the requests that were read. */
public interface RequestHandler {

  /** A request that is being served. */
  interface ActiveRequest {
    /** Ends the request, as its caller has gone away. */
    void onCallerDisconnected();

    /**
     * Ends the request, as the rest of its body will not come.
     *
     * @param refusal why
     */
    void onBodyFailed(Refusal refusal);

    /** Goes on with an answer that waited for the caller to read. */
    void onCallerWritable();
  }

  /**
   * Begins to serve a request.
   *
   * @param input the request
   * @param link the way back to its caller
   */
  ActiveRequest handle(IncomingRequest input, ResponseWriter link);
}
