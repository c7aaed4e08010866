package org.limpetvale.entry.upstream;

import com.google.common.flogger.FluentLogger;
import io.grpc.ManagedChannel;
import io.grpc.stub.StreamObserver;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.limpetvale.core.routing.Candidate;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.daemon.GrpcFactory;
import org.limpetvale.daemon.TransportSecurity;
import org.limpetvale.ports.Vm;
import org.limpetvale.wire.OrderReply;
import org.limpetvale.wire.OrderRequest;
import org.limpetvale.wire.RunCommand;
import org.limpetvale.wire.RunEvent;
import org.limpetvale.wire.SidecarIdentity;
import org.limpetvale.wire.SidecarLoad;
import org.limpetvale.wire.SidecarServiceGrpc;
import org.limpetvale.wire.TakeOrphanedUsageReply;
import org.limpetvale.wire.TakeOrphanedUsageRequest;
import org.limpetvale.wire.WatchPing;
import org.limpetvale.wire.WatchReport;

/**
 * The connection of this entry to one sidecar.
 *
 * <p>Heartbeats run on the connection that carries the requests. When one is missed the connection
 * is closed and a new one is opened, as the old one may have gone silent for good; the attempts on
 * it attach again.
 */
public final class SidecarLink {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Period of heartbeats while requests are open, in milliseconds. */
  private static final long BUSY_HEARTBEAT_PERIOD_MILLIS = 700;

  /** Period of heartbeats while none is open, in milliseconds. */
  private static final long IDLE_HEARTBEAT_PERIOD_MILLIS = 2000;

  /** Time without an answer after which the connection counts as silent, in milliseconds. */
  private static final long HEARTBEAT_TIMEOUT_MILLIS = 1500;

  private static final long RECONNECT_INTERVAL_MILLIS = 200;
  private static final long CONTROL_CALL_DEADLINE_MILLIS = 2000;

  private final Vm vm;
  private final String entryId;
  private final TransportSecurity security;
  private final TimerService timer;
  private final FlushedRecords usage;
  private final ConfigVersionTracker configNews;
  private final Counter controlBytes;
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicInteger sentSinceReport = new AtomicInteger();
  private volatile Connection connection;
  private volatile SidecarLoad load = SidecarLoad.getDefaultInstance();
  private volatile SidecarIdentity identity = SidecarIdentity.getDefaultInstance();
  private volatile boolean leaving;
  private volatile boolean closed;
  private volatile long nextConnectMillis;

  SidecarLink(
      Vm vm,
      String entryId,
      TransportSecurity security,
      TimerService timer,
      FlushedRecords usage,
      ConfigVersionTracker configNews,
      MeterRegistry metrics) {
    this.vm = Objects.requireNonNull(vm, "vm is null");
    this.entryId = Objects.requireNonNull(entryId, "entryId is null");
    this.security = Objects.requireNonNull(security, "security is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.usage = Objects.requireNonNull(usage, "usage is null");
    this.configNews = Objects.requireNonNull(configNews, "configNews is null");
    this.controlBytes = metrics.counter("limpetvale.control.bytes", "with", "sidecar");
    this.leaving = vm.leaving();
    connect();
  }

  /** One connection with its stream of heartbeats. */
  private final class Connection implements StreamObserver<WatchReport> {
    private final ManagedChannel channel = GrpcFactory.channel(vm.address(), security);
    private StreamObserver<WatchPing> pings;
    private long sequence;
    private volatile long pingSentMillis;
    private volatile long answeredSequence;
    private volatile boolean broken;

    void start() {
      pings = SidecarServiceGrpc.newStub(channel).watch(this);
      sendPing();
    }

    synchronized void sendPing() {
      sequence++;
      pingSentMillis = timer.nowMillis();
      WatchPing message =
          WatchPing.newBuilder()
              .setEntryId(entryId)
              .setConfigVersion(configNews.currentVersion())
              .setLeaving(leaving)
              .setSequence(sequence)
              .setWriterId(usage.writerId())
              .addAllFlushedRecordIds(usage.takeFlushed(vm.name()))
              .build();
      controlBytes.increment(message.getSerializedSize());
      pings.onNext(message);
    }

    @Override
    public void onNext(WatchReport report) {
      controlBytes.increment(report.getSerializedSize());
      answeredSequence = report.getSequence();
      sentSinceReport.set(0);
      load = report.getLoad();
      identity = report.getIdentity();
      configNews.observeVersion(report.getLoad().getConfigVersion());
      report.getOrphanedWritersList().forEach(each -> usage.recordOrphanedWriter(vm.name(), each));
    }

    @Override
    public void onError(Throwable error) {
      broken = true;
    }

    @Override
    public void onCompleted() {
      broken = true;
    }

    boolean awaitsReport() {
      return answeredSequence < sequence;
    }

    boolean isUnresponsive(long nowMillis) {
      return awaitsReport() && nowMillis - pingSentMillis > HEARTBEAT_TIMEOUT_MILLIS;
    }

    boolean isPingDue(long nowMillis) {
      long period = open.get() > 0 ? BUSY_HEARTBEAT_PERIOD_MILLIS : IDLE_HEARTBEAT_PERIOD_MILLIS;
      return !awaitsReport() && nowMillis - pingSentMillis >= period;
    }
  }

  // -- queries

  /** Returns the VM of the sidecar. */
  public Vm vm() {
    return vm;
  }

  /** Returns the instance of the sidecar that answered last. */
  public String instance() {
    return identity.getInstance();
  }

  /** Returns the last load report. */
  public SidecarLoad load() {
    return load;
  }

  /** Tells whether the upstream serves a model or service. */
  public boolean serves(String pool) {
    return vm.pool().equals(pool)
        || identity.getModelsList().contains(pool)
        || identity.getService().equals(pool);
  }

  /** Tells whether work may be sent. */
  public boolean isAvailable() {
    return isConnected() && !leaving && load.getUpstreamUp() && !load.getDraining();
  }

  /** Tells whether the connection in use has carried an answer. */
  boolean isConnected() {
    Connection now = connection;
    return !closed && now != null && !now.broken && now.answeredSequence > 0;
  }

  /** Returns what routing looks at, for a request of a tier. */
  public Candidate candidate(int tier) {
    SidecarLoad seen = load;
    int ahead =
        seen.getQueuedByTierList().stream().limit(tier + 1L).mapToInt(Integer::intValue).sum();
    return new Candidate(
        vm.name(),
        vm.zone(),
        seen.getRunning(),
        ahead,
        sentSinceReport.get(),
        Math.max(1, seen.getCapacity()),
        seen.getMeanServiceMillis(),
        seen.getStreamTokensPerSecond(),
        seen.getFirstTokenMillis(),
        isAvailable());
  }

  // -- requests

  /** Opens a stream of commands and events on the connection in use, or empty without one. */
  Optional<StreamObserver<RunCommand>> run(StreamObserver<RunEvent> events) {
    Connection now = connection;
    if (closed || now == null) {
      return Optional.empty();
    }
    return Optional.of(SidecarServiceGrpc.newStub(now.channel).run(events));
  }

  void attemptOpened() {
    open.incrementAndGet();
    sentSinceReport.incrementAndGet();
  }

  void attemptClosed() {
    open.decrementAndGet();
  }

  void updateLoad(SidecarLoad seen) {
    load = seen;
  }

  /** Returns the number of attempts that are open here. */
  public int openAttempts() {
    return open.get();
  }

  /** Sends an engine order; the answer is waited for. */
  public OrderReply sendOrder(OrderRequest request) {
    return SidecarServiceGrpc.newBlockingStub(connection.channel)
        .withDeadlineAfter(CONTROL_CALL_DEADLINE_MILLIS, TimeUnit.MILLISECONDS)
        .order(request);
  }

  /** Takes the records that a lost writer has left at the sidecar. */
  public TakeOrphanedUsageReply takeOrphanedUsage(String writerId, boolean forget) {
    return SidecarServiceGrpc.newBlockingStub(connection.channel)
        .withDeadlineAfter(CONTROL_CALL_DEADLINE_MILLIS, TimeUnit.MILLISECONDS)
        .takeOrphanedUsage(
            TakeOrphanedUsageRequest.newBuilder().setWriterId(writerId).setForget(forget).build());
  }

  // -- life

  void setLeaving(boolean now) {
    boolean was = leaving;
    leaving = now;
    Connection current = connection;
    if (now && !was && current != null && !current.broken) {
      current.sendPing();
    }
  }

  void close() {
    closed = true;
    Connection now = connection;
    if (now != null) {
      now.channel.shutdown();
    }
  }

  /** Sends a heartbeat that is due, or replaces a connection that is broken or silent. */
  void maintain() {
    long nowMillis = timer.nowMillis();
    Connection now = connection;
    if (closed) {
      return;
    }
    if (now.broken || now.isUnresponsive(nowMillis)) {
      if (nowMillis >= nextConnectMillis) {
        logger.atInfo().log(
            "reconnect vm=%s cause=%s", vm.name(), now.broken ? "broken" : "silent");
        connect();
        now.channel.shutdownNow();
      }
    } else if (now.isPingDue(nowMillis)) {
      now.sendPing();
    }
  }

  private void connect() {
    nextConnectMillis = timer.nowMillis() + RECONNECT_INTERVAL_MILLIS;
    Connection next = new Connection();
    next.start();
    connection = next;
  }
}
