package org.limpetvale.forward.spi;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Client for the platform calls that only the holder of the duty lease makes. */
public interface DutyClient {
  /**
   * Reports the usage of a window.
   *
   * @param holder name of the entry that holds the lease
   * @param fencingToken fencing token of the lease
   * @param window number of the window
   * @param requestsByWorkspace number of requests that started to run in the window, by workspace
   */
  CompletableFuture<DutyReply> reportUsage(
      String holder, long fencingToken, long window, Map<String, Long> requestsByWorkspace);

  /**
   * Orders the number of upstreams of a service in a zone.
   *
   * @param holder name of the entry that holds the lease
   * @param fencingToken fencing token of the lease
   * @param service the service
   * @param zone the availability zone
   * @param desiredCount desired number of upstreams
   */
  CompletableFuture<DutyReply> orderUpstreams(
      String holder, long fencingToken, String service, String zone, int desiredCount);
}
