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
 * The connection from this entry to one sidecar.
 *
 * <p>Heartbeats use the same connection as requests. After a missed heartbeat the connection is
 * replaced, because it may never recover; open attempts resume on the new connection.
 */
public final class SidecarLink {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Heartbeat period while requests are open, in milliseconds. */
  private static final long BUSY_HEARTBEAT_PERIOD_MILLIS = 700;

  /** Heartbeat period while no requests are open, in milliseconds. */
  private static final long IDLE_HEARTBEAT_PERIOD_MILLIS = 2000;

  /** Time to wait for a heartbeat report before replacing the connection, in milliseconds. */
  private static final long HEARTBEAT_TIMEOUT_MILLIS = 1500;

  private static final long RECONNECT_INTERVAL_MILLIS = 200;
  private static final long CONTROL_CALL_DEADLINE_MILLIS = 2000;

  private final Vm vm;
  private final String entryId;
  private final TransportSecurity security;
  private final TimerService timer;
  private final FlushedRecords usage;
  private final ConfigVersionTracker configVersions;
  private final Counter controlBytes;
  private final AtomicInteger openAttempts = new AtomicInteger();
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
      ConfigVersionTracker configVersions,
      MeterRegistry metrics) {
    this.vm = Objects.requireNonNull(vm, "vm is null");
    this.entryId = Objects.requireNonNull(entryId, "entryId is null");
    this.security = Objects.requireNonNull(security, "security is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.usage = Objects.requireNonNull(usage, "usage is null");
    this.configVersions = Objects.requireNonNull(configVersions, "configVersions is null");
    this.controlBytes = metrics.counter("limpetvale.control.bytes", "with", "sidecar");
    this.leaving = vm.leaving();
    connect();
  }

  /** One connection with its heartbeat stream. */
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
              .setConfigVersion(configVersions.currentVersion())
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
      configVersions.observeVersion(report.getLoad().getConfigVersion());
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
      long period =
          openAttempts.get() > 0 ? BUSY_HEARTBEAT_PERIOD_MILLIS : IDLE_HEARTBEAT_PERIOD_MILLIS;
      return !awaitsReport() && nowMillis - pingSentMillis >= period;
    }
  }

  /** Returns the VM of the sidecar. */
  public Vm vm() {
    return vm;
  }

  /** Returns the sidecar instance named in the last heartbeat report. */
  public String instance() {
    return identity.getInstance();
  }

  /** Returns the last load report. */
  public SidecarLoad load() {
    return load;
  }

  /** Returns whether the upstream serves a model or service. */
  public boolean serves(String pool) {
    return vm.pool().equals(pool)
        || identity.getModelsList().contains(pool)
        || identity.getService().equals(pool);
  }

  /** Returns whether requests may be sent to the upstream. */
  public boolean isAvailable() {
    return isConnected() && !leaving && load.getUpstreamUp() && !load.getDraining();
  }

  /** Returns whether the current connection has received a heartbeat report. */
  boolean isConnected() {
    Connection current = connection;
    return !closed && current != null && !current.broken && current.answeredSequence > 0;
  }

  /** Returns the routing data of this upstream for a request of the given tier. */
  public Candidate candidate(int tier) {
    SidecarLoad report = load;
    int queuedAhead =
        report.getQueuedByTierList().stream().limit(tier + 1L).mapToInt(Integer::intValue).sum();
    return new Candidate(
        vm.name(),
        vm.zone(),
        report.getRunning(),
        queuedAhead,
        sentSinceReport.get(),
        Math.max(1, report.getCapacity()),
        report.getMeanServiceMillis(),
        report.getStreamTokensPerSecond(),
        report.getFirstTokenMillis(),
        isAvailable());
  }

  /** Opens a request stream on the current connection; returns empty when there is none. */
  Optional<StreamObserver<RunCommand>> run(StreamObserver<RunEvent> events) {
    Connection current = connection;
    if (closed || current == null) {
      return Optional.empty();
    }
    return Optional.of(SidecarServiceGrpc.newStub(current.channel).run(events));
  }

  void attemptOpened() {
    openAttempts.incrementAndGet();
    sentSinceReport.incrementAndGet();
  }

  void attemptClosed() {
    openAttempts.decrementAndGet();
  }

  void updateLoad(SidecarLoad report) {
    load = report;
  }

  /** Returns the number of open attempts on this link. */
  public int openAttempts() {
    return openAttempts.get();
  }

  /** Sends an engine order and waits for the reply. */
  public OrderReply sendOrder(OrderRequest request) {
    return SidecarServiceGrpc.newBlockingStub(connection.channel)
        .withDeadlineAfter(CONTROL_CALL_DEADLINE_MILLIS, TimeUnit.MILLISECONDS)
        .order(request);
  }

  /**
   * Fetches the usage records that a lost writer has left at the sidecar.
   *
   * @param writerId the lost writer
   * @param forget whether the sidecar deletes the records
   */
  public TakeOrphanedUsageReply takeOrphanedUsage(String writerId, boolean forget) {
    return SidecarServiceGrpc.newBlockingStub(connection.channel)
        .withDeadlineAfter(CONTROL_CALL_DEADLINE_MILLIS, TimeUnit.MILLISECONDS)
        .takeOrphanedUsage(
            TakeOrphanedUsageRequest.newBuilder().setWriterId(writerId).setForget(forget).build());
  }

  void setLeaving(boolean value) {
    boolean wasLeaving = leaving;
    leaving = value;
    Connection current = connection;
    if (value && !wasLeaving && current != null && !current.broken) {
      current.sendPing();
    }
  }

  void close() {
    closed = true;
    Connection current = connection;
    if (current != null) {
      current.channel.shutdown();
    }
  }

  /** Sends a heartbeat if one is due, or replaces a broken or unresponsive connection. */
  void maintain() {
    long nowMillis = timer.nowMillis();
    Connection current = connection;
    if (closed) {
      return;
    }
    if (current.broken || current.isUnresponsive(nowMillis)) {
      if (nowMillis >= nextConnectMillis) {
        logger.atInfo().log(
            "reconnect vm=%s cause=%s", vm.name(), current.broken ? "broken" : "silent");
        connect();
        current.channel.shutdownNow();
      }
    } else if (current.isPingDue(nowMillis)) {
      current.sendPing();
    }
  }

  private void connect() {
    nextConnectMillis = timer.nowMillis() + RECONNECT_INTERVAL_MILLIS;
    Connection next = new Connection();
    next.start();
    connection = next;
  }
}
