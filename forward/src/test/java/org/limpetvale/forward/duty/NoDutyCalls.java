package org.limpetvale.forward.duty;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.limpetvale.forward.spi.DutyClient;
import org.limpetvale.forward.spi.DutyReply;

/** Takes usage reports and ignores them; for simulations in which no service is scaled. */
final class NoDutyCalls implements DutyClient {
  @Override
  public CompletableFuture<DutyReply> reportUsage(
      String holder, long fencingToken, long window, Map<String, Long> counts) {
    return CompletableFuture.completedFuture(new DutyReply.Taken());
  }

  @Override
  public CompletableFuture<DutyReply> orderUpstreams(
      String holder, long fencingToken, String service, String zone, int desiredCount) {
    throw new UnsupportedOperationException("no service is scaled");
  }
}
