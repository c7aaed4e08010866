package org.limpetvale.forward.peer;

import static org.limpetvale.forward.log.EventLog.field;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.http.Transport;
import org.limpetvale.forward.log.EventLog;

/**
 * Sends this entry's report to the others and takes theirs, in datagrams.
 *
 * <p>A report holds totals, so that a lost datagram is made good by the next one.
 */
public final class PeerLink {
  private static final long PERIOD_MILLIS = 150;

  /** Largest datagram that fits a usual network without being split. */
  private static final int LARGEST_BYTES = 1_400;

  private final Transport transport;
  private final InetSocketAddress address;
  private final PeerBook book;
  private final Supplier<List<InetSocketAddress>> peers;
  private final LongFunction<PeerReport> report;
  private final TimerService timer;
  private final EventLog log;
  private Channel channel;
  private long number;
  private boolean tooLargeLogged;

  private PeerLink(
      Transport transport,
      InetSocketAddress address,
      PeerBook book,
      Supplier<List<InetSocketAddress>> peers,
      LongFunction<PeerReport> report,
      TimerService timer,
      EventLog log) {
    this.transport = Objects.requireNonNull(transport, "transport is null");
    this.address = Objects.requireNonNull(address, "address is null");
    this.book = Objects.requireNonNull(book, "book is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.report = Objects.requireNonNull(report, "report is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /**
   * Returns a link that has not begun.
   *
   * @param address address to send from and to listen at
   * @param book takes the reports of others
   * @param peers addresses of the others
   * @param report makes this entry's report with a number
   */
  public static PeerLink of(
      Transport transport,
      InetSocketAddress address,
      PeerBook book,
      Supplier<List<InetSocketAddress>> peers,
      LongFunction<PeerReport> report,
      TimerService timer,
      EventLog log) {
    return new PeerLink(transport, address, book, peers, report, timer, log);
  }

  /** Begins to listen and to send. */
  public void start() {
    transport
        .datagrams()
        .handler(new Receiver())
        .bind(address)
        .addListener(
            (io.netty.channel.ChannelFuture bound) -> {
              if (bound.isSuccess()) {
                channel = bound.channel();
                timer.every(PERIOD_MILLIS, this::send);
              } else {
                log.change(
                    "not_listening",
                    field("what", "peers"),
                    field("cause", String.valueOf(bound.cause())));
              }
            });
  }

  /** Sends a report now. */
  public void send() {
    List<InetSocketAddress> others = peers.get();
    if (channel == null || others.isEmpty()) {
      return;
    }
    byte[] bytes = report.apply(++number).toJson().getBytes(StandardCharsets.UTF_8);
    if (bytes.length > LARGEST_BYTES && !tooLargeLogged) {
      tooLargeLogged = true;
      log.change("peer_report_large", field("bytes", bytes.length));
    }
    for (InetSocketAddress other : others) {
      channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), other));
    }
    channel.flush();
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      ByteBuf bytes = packet.content();
      PeerReport.parse(bytes.toString(StandardCharsets.UTF_8)).ifPresent(book::take);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      log.change("peer_link_fault", field("cause", cause.toString()));
    }
  }
}
