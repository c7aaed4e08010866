package org.limpetvale.forward.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.TimeUnit;
import jdk.net.ExtendedSocketOptions;

/**
 * An event loop and bootstraps for sockets that detect unresponsive peers.
 *
 * <p>The native transport is used where it is available because only it supports TCP_USER_TIMEOUT.
 * Otherwise, unresponsive peers are detected by keep-alive probes alone.
 */
public final class Transport implements AutoCloseable {
  private static final int MAX_DATAGRAM_BYTES = 65_535;

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int KEEP_ALIVE_IDLE_SECONDS = 1;
  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
  private static final int KEEP_ALIVE_PROBES = 2;
  private static final int USER_TIMEOUT_MILLIS = 2_500;
  private static final int ACCEPT_BACKLOG = 1_024;
  private static final long SHUTDOWN_TIMEOUT_MILLIS = 100;

  private static final int MIN_READ_BYTES = 64;
  private static final int INITIAL_READ_BYTES = 2_048;

  /**
   * Maximum size of a read from a client. Input that is not served yet keeps its buffer, and many
   * clients together may not take all memory with it.
   */
  private static final int MAX_READ_BYTES = 16 * 1024;

  /** Unread output of a client at which writing to it pauses, and resumes. */
  private static final WriteBufferWaterMark CLIENT_WATER_MARK =
      new WriteBufferWaterMark(16 * 1024, 32 * 1024);

  /** Netty's own value for TCP connections. */
  private static final int MAX_READS_PER_PASS = 16;

  /** Value of SO_LINGER with which a close discards what is not sent and resets the connection. */
  private static final int LINGER_RESET = 0;

  /** Value of SO_LINGER with which the system delivers what was written before a close. */
  private static final int LINGER_DEFAULT = -1;

  /** Bytes that the system takes to send later, so that what is written is nearly sent. */
  private static final long MAX_UNSENT_BYTES = 16 * 1024;

  /** The system's number of the state of a connection that has been reset. */
  private static final int TCP_STATE_CLOSED = 7;

  private final MultiThreadIoEventLoopGroup group;
  private final boolean nativeTransport;

  private Transport(boolean nativeTransport) {
    this.nativeTransport = nativeTransport;
    IoHandlerFactory factory =
        nativeTransport ? EpollIoHandler.newFactory() : NioIoHandler.newFactory();
    this.group = new MultiThreadIoEventLoopGroup(1, factory);
  }

  /**
   * Returns a transport with a running event loop.
   *
   * @param preferNative whether to use the native transport where it is available
   */
  public static Transport of(boolean preferNative) {
    return new Transport(preferNative && Epoll.isAvailable());
  }

  /** Returns the event loop. */
  public EventLoop loop() {
    return group.next();
  }

  /** Returns whether the native transport is in use. */
  public boolean isNative() {
    return nativeTransport;
  }

  /** Returns a client bootstrap on the event loop. */
  public Bootstrap clientBootstrap() {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(nativeTransport ? EpollSocketChannel.class : NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    if (nativeTransport) {
      return bootstrap
          .option(EpollChannelOption.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS)
          .option(EpollChannelOption.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS)
          .option(EpollChannelOption.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
          .option(EpollChannelOption.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLIS)
          .option(EpollChannelOption.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES);
    }
    return bootstrap
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
        .option(
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
            KEEP_ALIVE_INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES);
  }

  /** Returns a server bootstrap on the event loop. */
  public ServerBootstrap serverBootstrap() {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(
                nativeTransport ? EpollServerSocketChannel.class : NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, CLIENT_WATER_MARK)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, shortReads());
    if (nativeTransport) {
      return bootstrap
          .childOption(EpollChannelOption.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS)
          .childOption(EpollChannelOption.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS)
          .childOption(EpollChannelOption.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
          .childOption(EpollChannelOption.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLIS);
    }
    return bootstrap.childOption(ChannelOption.RECVBUF_ALLOCATOR, readingUntilNothingIsLeft());
  }

  /**
   * Returns an allocator with which a connection is read until nothing is left. By default, a read
   * that does not fill its buffer ends the pass, and a close behind it is read only after the tasks
   * of the pass. The native transport is told of a close together with the last bytes.
   */
  private static RecvByteBufAllocator readingUntilNothingIsLeft() {
    return shortReads().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_PASS);
  }

  private static DefaultMaxMessagesRecvByteBufAllocator shortReads() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
  }

  /** Returns a datagram bootstrap on the event loop; datagrams of any size are read whole. */
  public Bootstrap datagramBootstrap() {
    return new Bootstrap()
        .group(group)
        .channel(nativeTransport ? EpollDatagramChannel.class : NioDatagramChannel.class)
        .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES));
  }

  /**
   * Makes the next close of a channel reset its connection, also when the process ends. Has no
   * effect on a closed channel.
   */
  public static void resetOnClose(Channel channel) {
    setLinger(channel, LINGER_RESET);
  }

  /**
   * Makes the next close of a channel deliver what has been written, which is the default. Has no
   * effect on a closed channel.
   */
  public static void deliverOnClose(Channel channel) {
    setLinger(channel, LINGER_DEFAULT);
  }

  /**
   * Returns whether the system knows that the peer of a connection has not received all that was
   * written: it has reset the connection, or not confirmed all bytes. Only the native transport can
   * tell, and only on systems with these figures; false elsewhere.
   */
  public static boolean hasUndelivered(Channel channel) {
    if (!(channel instanceof EpollSocketChannel socket) || !socket.isOpen()) {
      return false;
    }
    try {
      EpollTcpInfo info = socket.tcpInfo();
      return info.state() == TCP_STATE_CLOSED || info.unacked() > 0;
    } catch (ChannelException e) {
      // The system has no such figures, as others without the native transport.
      return false;
    }
  }

  private static void setLinger(Channel channel, int value) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, value);
    }
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }
}
