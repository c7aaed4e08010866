package org.limpetvale.entry.config;

import com.google.common.flogger.FluentLogger;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.micrometer.core.instrument.MeterRegistry;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.limpetvale.core.config.ChangeRecord;
import org.limpetvale.core.config.ConfigState;
import org.limpetvale.core.config.JsonCodec;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.daemon.GrpcFactory;
import org.limpetvale.daemon.TransportSecurity;
import org.limpetvale.entry.upstream.VmDirectory;
import org.limpetvale.ports.Vm;
import org.limpetvale.wire.ExchangeReply;
import org.limpetvale.wire.ExchangeRequest;
import org.limpetvale.wire.PeerServiceGrpc;

/**
 * Exchanges configuration changes and crash suspects with other entries.
 *
 * <p>While the table is available, each round contacts one random peer. During an outage of the
 * table, each round contacts up to {@link #OUTAGE_FANOUT} peers, which also detects unreachable
 * peers that may still commit changes.
 */
public final class PeerExchange {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int OUTAGE_FANOUT = 8;
  private static final long DEADLINE_MILLIS = 800;
  private static final long PUSH_DEADLINE_MILLIS = 300;

  private final String self;
  private final String selfVm;
  private final VmDirectory directory;
  private final ConfigHolder holder;
  private final ConfigFreshness freshness;
  private final SuspectGossip suspects;
  private final TransportSecurity security;
  private final TimerService timer;
  private final MeterRegistry metrics;
  private final Map<String, ManagedChannel> channels = new ConcurrentHashMap<>();
  private final Map<String, String> processes = new ConcurrentHashMap<>();
  private final AtomicLong requestedPushes = new AtomicLong();
  private final Object pushLock = new Object();
  private long completedPushes;

  /** Creates the exchange of an entry with its peers. */
  public PeerExchange(
      String self,
      String selfVm,
      VmDirectory directory,
      ConfigHolder holder,
      ConfigFreshness freshness,
      SuspectGossip suspects,
      TransportSecurity security,
      TimerService timer,
      MeterRegistry metrics) {
    this.self = Objects.requireNonNull(self, "self is null");
    this.selfVm = Objects.requireNonNull(selfVm, "selfVm is null");
    this.directory = Objects.requireNonNull(directory, "directory is null");
    this.holder = Objects.requireNonNull(holder, "holder is null");
    this.freshness = Objects.requireNonNull(freshness, "freshness is null");
    this.suspects = Objects.requireNonNull(suspects, "suspects is null");
    this.security = Objects.requireNonNull(security, "security is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
  }

  /** Exchanges state with one peer, or with several peers while the table is unavailable. */
  public void runRound(boolean tableAvailable) {
    List<Vm> peers = new ArrayList<>(directory.peers(selfVm));
    Collections.shuffle(peers);
    int maxPeers = tableAvailable ? 1 : OUTAGE_FANOUT;
    exchangeAll(peers.stream().limit(maxPeers).toList(), DEADLINE_MILLIS);
  }

  private void exchangeAll(List<Vm> peers, long deadlineMillis) {
    List<Thread> calls =
        peers.stream()
            .map(peer -> Thread.ofVirtual().start(() -> exchange(peer, deadlineMillis)))
            .toList();
    calls.forEach(PeerExchange::join);
  }

  /**
   * Exchanges state with all listed peers and waits for them, so that the caller's next request
   * meets the same state at every reachable entry. Concurrent calls share one round.
   */
  public void exchangeWithAll() {
    long pushNumber = requestedPushes.incrementAndGet();
    synchronized (pushLock) {
      if (completedPushes >= pushNumber) {
        return;
      }
      long coveredPushes = requestedPushes.get();
      exchangeAll(directory.peers(selfVm), PUSH_DEADLINE_MILLIS);
      completedPushes = coveredPushes;
    }
  }

  /** Returns the process that last answered at a VM's address, as {@code vm/instance}. */
  public Optional<String> processAt(String vm) {
    return Optional.ofNullable(processes.get(vm));
  }

  private void exchange(Vm peer, long deadlineMillis) {
    long startMillis = timer.nowMillis();
    ExchangeRequest request =
        ExchangeRequest.newBuilder()
            .setEntryId(self)
            .setConfigVersion(holder.current().version())
            .setConfirmedAgeMillis(freshness.ageMillis())
            .addAllSuspects(suspects.recentUpdates())
            .build();
    try {
      ExchangeReply reply =
          PeerServiceGrpc.newBlockingStub(channel(peer))
              .withDeadlineAfter(deadlineMillis, TimeUnit.MILLISECONDS)
              .exchange(request);
      metrics
          .counter("limpetvale.control.bytes", "with", "peer")
          .increment(request.getSerializedSize() + (double) reply.getSerializedSize());
      processes.put(peer.name(), reply.getEntryId());
      applyReply(reply, startMillis);
    } catch (StatusRuntimeException e) {
      if (!isRefused(e)) {
        freshness.recordUnreachablePeer();
      }
      logger.atFine().log("exchange with peer %s failed: %s", peer.name(), e.getStatus());
    }
  }

  private void applyReply(ExchangeReply reply, long startMillis) {
    if (!reply.getSnapshot().isEmpty()) {
      holder.install(JsonCodec.readStored(reply.getSnapshot(), ConfigState.class));
    }
    holder.install(
        reply.getChangesList().stream()
            .map(json -> JsonCodec.readStored(json, ChangeRecord.class))
            .toList());
    if (reply.getConfigVersion() > 0) {
      freshness.recordPeerLoad();
    }
    if (holder.current().version() >= reply.getConfigVersion()) {
      freshness.recordConfirmation(startMillis - reply.getConfirmedAgeMillis());
    }
  }

  private ManagedChannel channel(Vm peer) {
    return channels.computeIfAbsent(
        peer.address(), address -> GrpcFactory.channel(address, security));
  }

  /** Returns whether the connection was refused: no process listens there that could commit. */
  private static boolean isRefused(StatusRuntimeException e) {
    if (e.getStatus().getCode() != Status.Code.UNAVAILABLE) {
      return false;
    }
    for (Throwable cause = e; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException) {
        return String.valueOf(cause.getMessage()).contains("refused");
      }
    }
    return false;
  }

  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
