package org.limpetvale.forward.relay;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.http.ReceiveLimit;
import org.limpetvale.forward.http.Transport;
import org.limpetvale.forward.spi.HeaderCodec;

/** Pools connections to upstreams between requests. Used on the event loop only. */
final class UpstreamPool {
  /**
   * Timeout for a new connection. A reachable upstream accepts within a few round trips; an
   * unreachable one must not delay a request for a large part of its latency target.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 350;

  /**
   * Idle time up to which a connection is used for a request that may not be repeated. The upstream
   * may have dropped a connection that was idle for longer, and the request sent on it would be
   * lost.
   */
  private static final long MAX_IDLE_MILLIS_FOR_NON_REPEATABLE = 200;

  /**
   * Maximum number of idle connections to one upstream. Together, the limits of all entries bound
   * the idle connections to it.
   */
  private static final int MAX_IDLE_PER_UPSTREAM = 6;

  private static final int MAX_HEADER_BYTES = 65_536;
  private static final int MAX_CHUNK_BYTES = 65_536;

  /** Bytes that an upstream may send without making progress on the expected response. */
  private static final long MAX_BYTES_WITHOUT_PROGRESS = 256 * 1024;

  private final Transport transport;
  private final HeaderCodec dialect;
  private final TimerService timer;
  private final Map<String, IdleConnections> idleByUpstreamId = new HashMap<>();
  private final Set<String> probedUpstreamIds = new HashSet<>();

  UpstreamPool(Transport transport, HeaderCodec dialect, TimerService timer) {
    this.transport = Objects.requireNonNull(transport, "transport is null");
    this.dialect = Objects.requireNonNull(dialect, "dialect is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /** The outcome of acquiring a connection. */
  sealed interface AcquireResult {
    /** An open connection that serves no request. */
    record Connected(UpstreamConnection connection) implements AcquireResult {}

    /**
     * No connection could be established.
     *
     * @param refused whether the upstream's machine answered that nothing listens there
     */
    record Unreachable(String detail, boolean refused) implements AcquireResult {
      static Unreachable of(Throwable cause) {
        boolean refused =
            cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        return new Unreachable(String.valueOf(cause), refused);
      }
    }
  }

  /**
   * Acquires a connection to an upstream.
   *
   * @param upstream the upstream
   * @param method method of the request; a HEAD request gets a new connection
   * @param requestId id of the request; empty if it has none, for which a new connection is used
   * @param mayRepeat whether the request may be sent again if the connection turns out to be closed
   * @param callback receives the outcome, now or later
   */
  void acquire(
      Upstream upstream,
      HttpMethod method,
      String requestId,
      boolean mayRepeat,
      Consumer<AcquireResult> callback) {
    IdleConnections connections =
        idleByUpstreamId.computeIfAbsent(upstream.id(), id -> new IdleConnections(upstream));
    if (!connections.upstream.isSameProcess(upstream)) {
      connections.closeAll();
      connections = new IdleConnections(upstream);
      idleByUpstreamId.put(upstream.id(), connections);
    }
    UpstreamConnection idle =
        connections.take(
            method, requestId, mayRepeat ? Long.MAX_VALUE : MAX_IDLE_MILLIS_FOR_NON_REPEATABLE);
    if (idle != null) {
      callback.accept(new AcquireResult.Connected(idle));
      return;
    }
    connect(connections, callback);
  }

  /**
   * Finds out whether an upstream still accepts connections. Does nothing while an earlier probe of
   * it is under way.
   *
   * @param onFailure receives the failure if it does not
   */
  void probe(Upstream upstream, Consumer<AcquireResult.Unreachable> onFailure) {
    if (!probedUpstreamIds.add(upstream.id())) {
      return;
    }
    connect(
        new IdleConnections(upstream),
        result -> {
          probedUpstreamIds.remove(upstream.id());
          switch (result) {
            case AcquireResult.Connected(UpstreamConnection connection) -> connection.close();
            case AcquireResult.Unreachable failure -> onFailure.accept(failure);
          }
        });
  }

  /** Closes the idle connections to upstreams that are not in a view. */
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

  /**
   * Connects after the events that are ready now. A connection that has just failed may have an
   * event left among them, which would end a new one that the system gives the same descriptor.
   */
  private void connect(IdleConnections connections, Consumer<AcquireResult> callback) {
    transport.loop().execute(() -> connectNow(connections, callback));
  }

  private void connectNow(IdleConnections connections, Consumer<AcquireResult> callback) {
    InetSocketAddress address =
        new InetSocketAddress(connections.upstream.host(), connections.upstream.port());
    ChannelFuture connecting =
        transport
            .clientBootstrap()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    ReceiveLimit receiveLimit = ReceiveLimit.of(MAX_BYTES_WITHOUT_PROGRESS);
                    UpstreamResponseDecoder decoder = new UpstreamResponseDecoder(decoderConfig());
                    channel
                        .pipeline()
                        .addLast(receiveLimit)
                        .addLast(new HttpRequestEncoder())
                        .addLast(decoder)
                        .addLast(
                            new UpstreamConnection(
                                channel, receiveLimit, decoder, dialect, timer, connections));
                  }
                })
            .connect(address);
    connecting.addListener(
        done ->
            callback.accept(
                done.isSuccess()
                    ? new AcquireResult.Connected(
                        connecting.channel().pipeline().get(UpstreamConnection.class))
                    : AcquireResult.Unreachable.of(done.cause())));
  }

  private static HttpDecoderConfig decoderConfig() {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(MAX_HEADER_BYTES)
        .setMaxHeaderSize(MAX_HEADER_BYTES)
        .setMaxChunkSize(MAX_CHUNK_BYTES);
  }

  /** The idle connections to one upstream process, most recently used last. */
  private static final class IdleConnections implements UpstreamConnection.Owner {
    private final Upstream upstream;
    private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
    private boolean closed;

    IdleConnections(Upstream upstream) {
      this.upstream = upstream;
    }

    /**
     * Takes the most recently used connection that can identify the response; returns null if it
     * has been idle for longer than the limit or there is none.
     */
    UpstreamConnection take(HttpMethod method, String requestId, long maxIdleMillis) {
      Iterator<UpstreamConnection> newestFirst = idle.descendingIterator();
      while (newestFirst.hasNext()) {
        UpstreamConnection connection = newestFirst.next();
        if (!connection.isUsable()) {
          newestFirst.remove();
          connection.close();
        } else if (connection.idleMillis() > maxIdleMillis) {
          return null;
        } else if (connection.canCarry(method, requestId)) {
          newestFirst.remove();
          return connection;
        }
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
