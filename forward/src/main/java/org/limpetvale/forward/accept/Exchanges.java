package org.limpetvale.forward.accept;

import org.limpetvale.core.result.Refusal;

/** Serves the requests that were read. */
public interface Exchanges {

  /** A request that is being served. */
  interface Running {
    /** Ends the request, as its caller has gone away. */
    void callerGone();

    /**
     * Ends the request, as the rest of its body will not come.
     *
     * @param refusal why
     */
    void bodyFailed(Refusal refusal);

    /** Goes on with an answer that waited for the caller to read. */
    void callerWritable();
  }

  /**
   * Begins to serve a request.
   *
   * @param input the request
   * @param link the way back to its caller
   */
  Running begin(RequestInput input, CallerLink link);
}
