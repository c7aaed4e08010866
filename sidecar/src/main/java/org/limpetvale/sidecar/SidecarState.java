package org.limpetvale.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.limpetvale.core.admission.AdmissionQueue;
import org.limpetvale.core.config.RequestClass;
import org.limpetvale.daemon.Identity;
import org.limpetvale.daemon.Ids;
import org.limpetvale.wire.SidecarIdentity;
import org.limpetvale.wire.SidecarLoad;

/** Identity and current load of this sidecar, as reported to entries. */
final class SidecarState {
  private final Identity identity;
  private final UpstreamSettings upstream;
  private final AdmissionController admission;
  private final UpstreamState upstreamState;
  private final AtomicReference<Rates> rates;
  private final String instance = Ids.next();
  private final AtomicLong configVersion = new AtomicLong();
  private final AtomicReference<List<String>> models;

  SidecarState(
      Identity identity,
      UpstreamSettings upstream,
      AdmissionController admission,
      UpstreamState upstreamState,
      AtomicReference<Rates> rates) {
    this.identity = Objects.requireNonNull(identity, "identity is null");
    this.upstream = Objects.requireNonNull(upstream, "upstream is null");
    this.admission = Objects.requireNonNull(admission, "admission is null");
    this.upstreamState = Objects.requireNonNull(upstreamState, "upstreamState is null");
    this.rates = Objects.requireNonNull(rates, "rates is null");
    this.models = new AtomicReference<>(List.copyOf(upstream.models()));
  }

  String instance() {
    return instance;
  }

  void recordConfigVersion(long version) {
    configVersion.accumulateAndGet(version, Math::max);
  }

  void addModel(String model) {
    models.updateAndGet(
        old -> {
          List<String> next = new ArrayList<>(old);
          if (!next.contains(model)) {
            next.add(model);
          }
          return List.copyOf(next);
        });
  }

  SidecarIdentity identity() {
    return SidecarIdentity.newBuilder()
        .setVm(identity.vm())
        .setZone(identity.zone())
        .setKind(upstream.kind().name())
        .addAllModels(models.get())
        .setService(upstream.service())
        .setInstance(instance)
        .build();
  }

  SidecarLoad load() {
    AdmissionQueue queue = admission.snapshot();
    Rates observed = rates.get();
    return SidecarLoad.newBuilder()
        .setRunning(queue.runningCount())
        .setQueued(queue.waiting().size())
        .setCapacity(upstream.capacity())
        .setStreamTokensPerSecond(observed.streamTokensPerSecond())
        .setFirstTokenMillis(observed.firstTokenMillis())
        .setMeanServiceMillis(queue.meanServiceMillis())
        .setDraining(admission.isDraining())
        .setUpstreamUp(upstreamState.isUp())
        .setConfigVersion(configVersion.get())
        .addAllQueuedByTier(queue.waitingByTier(RequestClass.TIERS))
        .build();
  }
}
