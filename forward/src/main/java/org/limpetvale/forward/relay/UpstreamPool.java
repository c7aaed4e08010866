package org.limpetvale.forward.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.http.ReceiveLimit;
import org.limpetvale.forward.http.Transport;
import org.limpetvale.forward.spi.HeaderCodec;

/** Connections to upstreams, kept between requests; for the event loop only. */
final class UpstreamPool {
  /**
   * Time for a new connection to an upstream. An upstream in reach accepts within a few round
   * trips; one that has gone dark must not hold a request for a large part of its target.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 350;

  /**
   * Idle time of a connection within which a request that may not be repeated is sent on it: an
   * upstream may have dropped it meanwhile, and what is sent next is lost.
   */
  private static final long MAX_IDLE_MILLIS_FOR_NON_REPEATABLE = 200;

  /** Idle connections that are kept to one upstream; it bounds those of all entries together. */
  private static final int MAX_IDLE_PER_UPSTREAM = 6;

  private static final int MAX_HEADER_BYTES = 65_536;
  private static final int MAX_CHUNK_BYTES = 65_536;

  /** Bytes that an upstream may send without getting on with the answer that is awaited. */
  private static final long MAX_BYTES_WITHOUT_PROGRESS = 256 * 1024;

  private final Transport transport;
  private final HeaderCodec dialect;
  private final TimerService timer;
  private final Map<String, IdleConnections> idleByUpstreamId = new HashMap<>();

  UpstreamPool(Transport transport, HeaderCodec dialect, TimerService timer) {
    this.transport = Objects.requireNonNull(transport, "transport is null");
    this.dialect = Objects.requireNonNull(dialect, "dialect is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /** The outcome of asking for a connection. */
  sealed interface Lease {
    /** A connection that carries no request. */
    record Open(UpstreamConnection connection) implements Lease {}

    /** No connection could be made. */
    record Unreachable(String detail) implements Lease {}
  }

  /**
   * Hands out a connection to an upstream.
   *
   * @param upstream the upstream
   * @param mayRepeat whether the request may be sent again if the connection turns out to be gone
   * @param then takes the outcome, now or later
   */
  void acquire(Upstream upstream, boolean mayRepeat, Consumer<Lease> then) {
    IdleConnections own =
        idleByUpstreamId.computeIfAbsent(upstream.id(), id -> new IdleConnections(upstream));
    if (!own.upstream.isSameProcess(upstream)) {
      own.closeAll();
      own = new IdleConnections(upstream);
      idleByUpstreamId.put(upstream.id(), own);
    }
    UpstreamConnection idle =
        own.take(mayRepeat ? Long.MAX_VALUE : MAX_IDLE_MILLIS_FOR_NON_REPEATABLE);
    if (idle != null) {
      then.accept(new Lease.Open(idle));
      return;
    }
    connect(own, then);
  }

  /** Closes the kept connections of upstreams that a view does not hold. */
  void retainOnly(FleetView view) {
    idleByUpstreamId
        .values()
        .removeIf(
            each -> {
              if (view.find(each.upstream.id()).isPresent()) {
                return false;
              }
              each.closeAll();
              return true;
            });
  }

  private void connect(IdleConnections own, Consumer<Lease> then) {
    InetSocketAddress address = new InetSocketAddress(own.upstream.host(), own.upstream.port());
    ChannelFuture connecting =
        transport
            .clientBootstrap()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    ReceiveLimit received = ReceiveLimit.of(MAX_BYTES_WITHOUT_PROGRESS);
                    channel
                        .pipeline()
                        .addLast(received)
                        .addLast(new HttpClientCodec(decoderConfig(), false, false))
                        .addLast(new UpstreamConnection(channel, received, dialect, timer, own));
                  }
                })
            .connect(address);
    connecting.addListener(
        done ->
            then.accept(
                done.isSuccess()
                    ? new Lease.Open(connecting.channel().pipeline().get(UpstreamConnection.class))
                    : new Lease.Unreachable(String.valueOf(done.cause()))));
  }

  private static HttpDecoderConfig decoderConfig() {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(MAX_HEADER_BYTES)
        .setMaxHeaderSize(MAX_HEADER_BYTES)
        .setMaxChunkSize(MAX_CHUNK_BYTES);
  }

  /** The idle connections to one upstream process, the newest last. */
  private static final class IdleConnections implements UpstreamConnection.Owner {
    private final Upstream upstream;
    private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
    private boolean closed;

    IdleConnections(Upstream upstream) {
      this.upstream = upstream;
    }

    /** Takes the newest idle connection, if it has not rested for longer than a time. */
    UpstreamConnection take(long mostIdleMillis) {
      while (!idle.isEmpty()) {
        UpstreamConnection connection = idle.getLast();
        if (connection.isUsable() && connection.idleMillis() > mostIdleMillis) {
          return null;
        }
        idle.removeLast();
        if (connection.isUsable()) {
          return connection;
        }
        connection.close();
      }
      return null;
    }

    void closeAll() {
      closed = true;
      idle.forEach(UpstreamConnection::close);
      idle.clear();
    }

    @Override
    public void onReusable(UpstreamConnection connection) {
      if (closed) {
        connection.close();
        return;
      }
      idle.addLast(connection);
      if (idle.size() > MAX_IDLE_PER_UPSTREAM) {
        idle.removeFirst().close();
      }
    }

    @Override
    public void onClosed(UpstreamConnection connection) {
      idle.remove(connection);
    }
  }
}
