package org.limpetvale.forward.accept;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Supplier;
import org.limpetvale.core.fleet.CallerLimits;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.http.Transport;
import org.limpetvale.forward.log.EventLog;

/** Accepts connections from callers. */
public final class CallerServer {
  private final Transport transport;
  private final TimerService timer;
  private final EventLog log;
  private final Supplier<CallerLimits> limits;
  private final RequestHandler requestHandler;
  private final BodyMemoryBudget memory = new BodyMemoryBudget();
  private final Set<CallerConnection> connections = new HashSet<>();
  private Channel listener;
  private boolean isStopping;
  private boolean keepsNoIdleConnections;

  private CallerServer(
      Transport transport,
      TimerService timer,
      EventLog log,
      Supplier<CallerLimits> limits,
      RequestHandler requestHandler) {
    this.transport = Objects.requireNonNull(transport, "transport is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
    this.limits = Objects.requireNonNull(limits, "limits is null");
    this.requestHandler = Objects.requireNonNull(requestHandler, "exchanges is null");
  }

  /**
   * Creates a server that does not listen yet.
   *
   * @param limits supplies the limits in force; called for each connection and request
   * @param requestHandler serves the requests
   */
  public static CallerServer of(
      Transport transport,
      TimerService timer,
      EventLog log,
      Supplier<CallerLimits> limits,
      RequestHandler requestHandler) {
    return new CallerServer(transport, timer, log, limits, requestHandler);
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
                        .addLast(new HeaderStartDetector(handler::onHeaderBytes))
                        .addLast(new StrictRequestDecoder(limits.get().maxHeaderBytes()))
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

  BodyMemoryBudget memory() {
    return memory;
  }

  void connectionOpened(CallerConnection connection) {
    connections.add(connection);
  }

  void connectionClosed(CallerConnection connection) {
    connections.remove(connection);
  }
}
