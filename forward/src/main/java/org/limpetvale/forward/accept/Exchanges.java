package org.limpetvale.forward.accept;

/** Serves the requests that were read. */
public interface Exchanges {

  /** A request that is being served. */
  interface Running {
    /** Ends the request, as its caller has gone away. */
    void callerGone();

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
