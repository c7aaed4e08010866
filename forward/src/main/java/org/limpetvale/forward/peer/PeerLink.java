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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.http.Transport;
import org.limpetvale.forward.log.EventLog;

/**
 * Exchanges reports with the other entries in datagrams.
 *
 * <p>A report holds totals, so the next report makes up for a lost datagram.
 */
public final class PeerLink {
  private static final long MIN_PERIOD_MILLIS = 150;
  private static final long MAX_PERIOD_MILLIS = 900;
  private static final long SOON_MILLIS = 50;

  /** Number of other entries up to which reports are sent at the minimum period. */
  private static final int MAX_PEERS_AT_MIN_PERIOD = 14;

  /** Usage is included in one of {@code 1 + peers / PEERS_PER_OMITTED_USAGE} reports. */
  private static final int PEERS_PER_OMITTED_USAGE = 6;

  /** Largest datagram that passes common networks without fragmentation. */
  private static final int MAX_DATAGRAM_BYTES = 1_400;

  /** Time for which the sender of a report is sent reports. */
  private static final long SENDER_RETENTION_MILLIS = 3_000;

  private static final int MAX_SENDERS = 1_000;

  private final Transport transport;
  private final InetSocketAddress address;
  private final PeerReports reports;
  private final Supplier<List<InetSocketAddress>> peers;
  private final Function<ReportOptions, PeerReport> report;
  private final TimerService timer;
  private final EventLog log;
  private final Map<InetSocketAddress, Long> heardAtMillis = new HashMap<>();
  private Channel channel;
  private long lastSequenceNumber;
  private boolean tooLargeLogged;
  private boolean sendScheduled;
  private boolean unreadableLogged;

  /**
   * What a new report contains.
   *
   * @param sequenceNumber sequence number of the report
   * @param withUsage whether the report contains usage
   */
  public record ReportOptions(long sequenceNumber, boolean withUsage) {}

  private PeerLink(
      Transport transport,
      InetSocketAddress address,
      PeerReports reports,
      Supplier<List<InetSocketAddress>> peers,
      Function<ReportOptions, PeerReport> report,
      TimerService timer,
      EventLog log) {
    this.transport = Objects.requireNonNull(transport, "transport is null");
    this.address = Objects.requireNonNull(address, "address is null");
    this.reports = Objects.requireNonNull(reports, "reports is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.report = Objects.requireNonNull(report, "report is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.log = Objects.requireNonNull(log, "log is null");
  }

  /**
   * Returns a link that is not started.
   *
   * @param address local address to send from and to listen on
   * @param reports receives the reports of the other entries
   * @param peers supplies the addresses of the other entries
   * @param report creates this entry's report
   */
  public static PeerLink of(
      Transport transport,
      InetSocketAddress address,
      PeerReports reports,
      Supplier<List<InetSocketAddress>> peers,
      Function<ReportOptions, PeerReport> report,
      TimerService timer,
      EventLog log) {
    return new PeerLink(transport, address, reports, peers, report, timer, log);
  }

  /** Starts listening and sending. */
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
   * Sends a report and schedules the next one. The period grows with the number of entries because
   * every entry receives the reports of all others. The next one is scheduled first, so that a
   * failure to send one does not end the reports.
   */
  private void sendAndSchedule() {
    List<InetSocketAddress> others = recipients();
    timer.after(periodMillis(others.size()), this::sendAndSchedule);
    send(others, lastSequenceNumber % (1 + others.size() / PEERS_PER_OMITTED_USAGE) == 0);
  }

  /**
   * Returns the other entries, and the senders of recent reports. An entry that has just started
   * hears from the others before they have read its row.
   */
  private List<InetSocketAddress> recipients() {
    long nowMillis = timer.nowMillis();
    heardAtMillis.values().removeIf(heard -> nowMillis - heard > SENDER_RETENTION_MILLIS);
    return Stream.concat(peers.get().stream(), heardAtMillis.keySet().stream()).distinct().toList();
  }

  private void noteSender(InetSocketAddress sender) {
    if (!sender.equals(address) && heardAtMillis.size() < MAX_SENDERS) {
      heardAtMillis.put(sender, timer.nowMillis());
    }
  }

  static long periodMillis(int peers) {
    long period = MIN_PERIOD_MILLIS * Math.max(1, peers) / MAX_PEERS_AT_MIN_PERIOD;
    return Math.clamp(period, MIN_PERIOD_MILLIS, MAX_PERIOD_MILLIS);
  }

  /** Sends a report shortly, once for all calls until then. */
  public void sendSoon() {
    if (!sendScheduled) {
      sendScheduled = true;
      timer.after(SOON_MILLIS, this::sendScheduled);
    }
  }

  private void sendScheduled() {
    sendScheduled = false;
    send(recipients(), false);
  }

  /** Sends a report with usage immediately. */
  public void send() {
    send(recipients(), true);
  }

  private void send(List<InetSocketAddress> others, boolean withUsage) {
    if (channel == null || others.isEmpty()) {
      return;
    }
    byte[] bytes =
        report
            .apply(new ReportOptions(++lastSequenceNumber, withUsage))
            .toJson()
            .getBytes(StandardCharsets.UTF_8);
    if (bytes.length > MAX_DATAGRAM_BYTES && !tooLargeLogged) {
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
      PeerReport.parse(bytes.toString(StandardCharsets.UTF_8))
          .ifPresentOrElse(
              received -> {
                noteSender(packet.sender());
                reports.accept(received);
              },
              () -> logUnreadable(packet.sender()));
    }

    private void logUnreadable(InetSocketAddress sender) {
      if (!unreadableLogged) {
        unreadableLogged = true;
        log.stateChange("peer_report_unreadable", field("sender", sender));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      log.stateChange("peer_link_fault", field("cause", cause.toString()));
    }
  }
}
