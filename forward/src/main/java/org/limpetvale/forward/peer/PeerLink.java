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
import java.util.function.Function;
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
  private static final long SHORTEST_PERIOD_MILLIS = 150;
  private static final long LONGEST_PERIOD_MILLIS = 900;

  /** Other entries up to which reports go out at the shortest period. */
  private static final int FEW_PEERS = 14;

  /** Other entries for each of which usage is left out of one more report. */
  private static final int PEERS_PER_USAGE_PAUSE = 6;

  /** Largest datagram that fits a usual network without being split. */
  private static final int LARGEST_BYTES = 1_400;

  private final Transport transport;
  private final InetSocketAddress address;
  private final PeerReports book;
  private final Supplier<List<InetSocketAddress>> peers;
  private final Function<ReportOptions, PeerReport> report;
  private final TimerService timer;
  private final EventLog log;
  private Channel channel;
  private long number;
  private boolean tooLargeLogged;

  /**
   * What a report is to hold.
   *
   * @param sequenceNumber its number
   * @param withUsage whether it tells the usage
   */
  public record ReportOptions(long sequenceNumber, boolean withUsage) {}

  private PeerLink(
      Transport transport,
      InetSocketAddress address,
      PeerReports book,
      Supplier<List<InetSocketAddress>> peers,
      Function<ReportOptions, PeerReport> report,
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
   * @param report makes this entry's report
   */
  public static PeerLink of(
      Transport transport,
      InetSocketAddress address,
      PeerReports book,
      Supplier<List<InetSocketAddress>> peers,
      Function<ReportOptions, PeerReport> report,
      TimerService timer,
      EventLog log) {
    return new PeerLink(transport, address, book, peers, report, timer, log);
  }

  /** Begins to listen and to send. */
  public void start() {
    transport
        .datagramBootstrap()
        .handler(new Receiver())
        .bind(address)
        .addListener(
            (io.netty.channel.ChannelFuture bound) -> {
              if (bound.isSuccess()) {
                channel = bound.channel();
                sendAndSchedule();
              } else {
                log.stateChange(
                    "not_listening",
                    field("what", "peers"),
                    field("cause", String.valueOf(bound.cause())));
              }
            });
  }

  /**
   * Sends reports at a period that grows with the number of entries, as each entry hears all
   * others.
   */
  private void sendAndSchedule() {
    List<InetSocketAddress> others = peers.get();
    send(others, number % (1 + others.size() / PEERS_PER_USAGE_PAUSE) == 0);
    timer.after(periodMillis(others.size()), this::sendAndSchedule);
  }

  static long periodMillis(int peers) {
    long period = SHORTEST_PERIOD_MILLIS * Math.max(1, peers) / FEW_PEERS;
    return Math.clamp(period, SHORTEST_PERIOD_MILLIS, LONGEST_PERIOD_MILLIS);
  }

  /** Sends a whole report now. */
  public void send() {
    send(peers.get(), true);
  }

  private void send(List<InetSocketAddress> others, boolean withUsage) {
    if (channel == null || others.isEmpty()) {
      return;
    }
    byte[] bytes =
        report
            .apply(new ReportOptions(++number, withUsage))
            .toJson()
            .getBytes(StandardCharsets.UTF_8);
    if (bytes.length > LARGEST_BYTES && !tooLargeLogged) {
      tooLargeLogged = true;
      log.stateChange("peer_report_large", field("bytes", bytes.length));
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
      PeerReport.parse(bytes.toString(StandardCharsets.UTF_8)).ifPresent(book::accept);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      log.stateChange("peer_link_fault", field("cause", cause.toString()));
    }
  }
}
