package org.limpetvale.forward.spi;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Calls to the platform that are the duty of one entry at a time. */
public interface DutyClient {
  /**
   * Reports the usage of a window.
   *
   * @param holder name of the entry that holds the duty
   * @param fence fencing number of its lease
   * @param window number of the window
   * @param requestsByWorkspace requests that began to run in it, by workspace
   */
  CompletableFuture<DutyReply> reportUsage(
      String holder, long fence, long window, Map<String, Long> requestsByWorkspace);

  /**
   * Orders the number of upstreams of a service in a zone.
   *
   * @param holder name of the entry that holds the duty
   * @param fence fencing number of its lease
   * @param service the service
   * @param zone the availability zone
   * @param wanted number of upstreams
   */
  CompletableFuture<DutyReply> orderUpstreams(
      String holder, long fence, String service, String zone, int wanted);
}
