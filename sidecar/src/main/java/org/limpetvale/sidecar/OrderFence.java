package org.limpetvale.sidecar;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.wire.OrderReply;
import org.limpetvale.wire.OrderRequest;

/**
 * Rejects orders with an outdated epoch. The epoch serves as a fencing token here, so that fencing
 * also works for engines that do not check it.
 */
final class OrderFence {
  private final Map<String, Long> highestEpochs = new ConcurrentHashMap<>();
  private final OrderExecutor executor;

  OrderFence(OrderExecutor orders) {
    this.executor = Objects.requireNonNull(orders, "orders is null");
  }

  /** Executes orders that have passed the fence. */
  interface OrderExecutor {
    /** Executes one order; returns whether it took effect. */
    boolean apply(OrderRequest request);
  }

  /** Executes an order unless a later epoch of its duty has been seen. */
  synchronized OrderReply apply(OrderRequest request) {
    long highest = highestEpochs.merge(request.getDuty(), request.getEpoch(), Math::max);
    OrderReply.Builder reply = OrderReply.newBuilder().setHighestEpoch(highest);
    if (request.getEpoch() < highest) {
      return reply
          .setCode(ResultCode.EPOCH_OLD.number())
          .setDetail("epoch " + request.getEpoch() + " is older than " + highest)
          .build();
    }
    return reply.setApplied(executor.apply(request)).build();
  }
}
