package org.limpetvale.forward.accept;

import static org.limpetvale.forward.log.EventLog.field;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Supplier;
import org.limpetvale.core.fleet.CallerLimits;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.http.Transport;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.metrics.ForwardMetrics;
import org.limpetvale.forward.metrics.ForwardMetrics.Counter;

/** Accepts connections from callers. */
public final class CallerServer {
  private static final long LOG_PERIOD_MILLIS = 60_000;

  private final Transport transport;
  private final TimerService timer;
  private final EventLog log;
  private final Supplier<CallerLimits> limits;
  private final RequestHandler requestHandler;
  private final CallerMemoryBudget memory;
  private final int maxConnections;
  private final ForwardMetrics metrics;
  private final Set<CallerConnection> connections = new HashSet<>();
  private Channel listener;
  private boolean isStopping;
  private boolean keepsNoIdleConnections;

  /** Earliest time of the next log line about each way to make room. */
  private final Map<Counter, Long> nextLogMillis = new EnumMap<>(Counter.class);

  private CallerServer(
      Transport transport,
      TimerService timer,
      EventLog log,
      Supplier<CallerLimits> limits,
      RequestHandler requestHandler,
      CallerCapacity capacity,
      ForwardMetrics metrics) {
    this.transport = Objects.requireNonNull(transport, "transport is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
    this.limits = Objects.requireNonNull(limits, "limits is null");
    this.requestHandler = Objects.requireNonNull(requestHandler, "exchanges is null");
    this.memory = CallerMemoryBudget.of(capacity.memoryBytes());
    this.maxConnections = capacity.maxConnections();
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
  }

  /** Creates a server that does not listen yet, with the capacity that this JVM's limits allow. */
  public static CallerServer of(
      Transport transport,
      TimerService timer,
      EventLog log,
      Supplier<CallerLimits> limits,
      RequestHandler requestHandler) {
    return of(
        transport,
        timer,
        log,
        limits,
        requestHandler,
        CallerCapacity.of(OptionalInt.empty(), OptionalInt.empty()),
        ForwardMetrics.empty());
  }

  /**
   * Creates a server that does not listen yet.
   *
   * @param limits supplies the limits in force; called for each connection and request
   * @param requestHandler serves the requests
   * @param capacity what all callers together may take
   */
  public static CallerServer of(
      Transport transport,
      TimerService timer,
      EventLog log,
      Supplier<CallerLimits> limits,
      RequestHandler requestHandler,
      CallerCapacity capacity,
      ForwardMetrics metrics) {
    return new CallerServer(transport, timer, log, limits, requestHandler, capacity, metrics);
  }

  /** Starts listening on an address. */
  public ChannelFuture listen(InetSocketAddress address) {
    ChannelFuture bound =
        transport
            .serverBootstrap()
            .childHandler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    CallerConnection handler = new CallerConnection(CallerServer.this);
                    channel
                        .pipeline()
                        .addLast(
                            new HeaderStartDetector(handler::onHeaderBytes, handler::isClosing))
                        .addLast(handler.decoder())
                        .addLast(new HttpResponseEncoder())
                        .addLast(handler);
                  }
                })
            .bind(address);
    listener = bound.channel();
    return bound;
  }

  /** From now on, closes each connection after the response to its current or next request. */
  public void closeConnectionsAfterRequests() {
    isStopping = true;
  }

  /**
   * Stops listening and closes the connections that serve no request. From now on, the others are
   * closed as soon as their response is written.
   */
  public void closeIdle() {
    keepsNoIdleConnections = true;
    if (listener != null) {
      listener.close();
    }
    List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return connections.size();
  }

  boolean isStopping() {
    return isStopping;
  }

  boolean keepsNoIdleConnections() {
    return keepsNoIdleConnections;
  }

  TimerService timer() {
    return timer;
  }

  EventLog log() {
    return log;
  }

  CallerLimits limits() {
    return limits.get();
  }

  RequestHandler requestHandler() {
    return requestHandler;
  }

  CallerMemoryBudget memory() {
    return memory;
  }

  /** Returns the memory that the requests of callers hold, in bytes. */
  public long heldBytes() {
    return memory.reservedBytes();
  }

  /**
   * Reserves memory for a request that has not started. If there is none left, refuses the request
   * that has held most for longest without being complete, as long as there is one.
   *
   * @return whether the memory is reserved
   */
  boolean reserve(long bytes) {
    while (!memory.tryReserve(bytes)) {
      Optional<CallerConnection> largest =
          connections.stream()
              .filter(each -> each.unstartedLoad() > 0)
              .max(Comparator.comparingLong(CallerConnection::unstartedLoad));
      recordShortage(Counter.REQUESTS_REFUSED_FOR_MEMORY);
      if (largest.isEmpty()) {
        return false;
      }
      largest.get().giveUpUnstarted();
    }
    return true;
  }

  /** Counts a caller that had to make room, and logs at most one line a minute for each way. */
  private void recordShortage(Counter counter) {
    metrics.count(counter);
    long nowMillis = timer.nowMillis();
    if (nowMillis >= nextLogMillis.getOrDefault(counter, nowMillis)) {
      nextLogMillis.put(counter, nowMillis + LOG_PERIOD_MILLIS);
      log.stateChange(
          counter.name().toLowerCase(Locale.ROOT),
          field("heldBytes", memory.reservedBytes()),
          field("connections", openConnections()));
    }
  }

  void connectionOpened(CallerConnection connection) {
    connections.add(connection);
    if (connections.size() > maxConnections) {
      closeOneOtherThan(connection);
    }
  }

  /** Closes the connection that has waited longest for its caller; the new one if none waits. */
  private void closeOneOtherThan(CallerConnection opened) {
    recordShortage(Counter.CONNECTIONS_CLOSED_FOR_ROOM);
    connections.stream()
        .filter(each -> each != opened && each.waitsForCaller())
        .max(Comparator.comparingLong(CallerConnection::idleMillis))
        .orElse(opened)
        .closeForRoom();
  }

  void connectionClosed(CallerConnection connection) {
    connections.remove(connection);
  }
}
