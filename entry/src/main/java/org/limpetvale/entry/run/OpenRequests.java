package org.limpetvale.entry.run;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.limpetvale.core.config.ConfigState;
import org.limpetvale.core.result.ExecutionStatus;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.entry.config.ConfigFreshness;
import org.limpetvale.entry.config.ConfigHolder;

/** Tracks open requests by key, to stop them when their key is withdrawn. */
public final class OpenRequests {
  private static final long STALE_CHECK_MILLIS = 500;
  private static final long STALE_RETRY_AFTER_MILLIS = 2000;

  private final ConfigHolder config;
  private final Map<Long, OpenRequest> open = new ConcurrentHashMap<>();
  private final java.util.concurrent.atomic.AtomicLong registrationIds =
      new java.util.concurrent.atomic.AtomicLong();

  private record OpenRequest(String keyDigest, Consumer<Refusal> stop) {}

  /** Creates an empty registry and subscribes it to configuration changes. */
  public OpenRequests(ConfigHolder config, ConfigFreshness freshness, TimerService timer) {
    this.config = Objects.requireNonNull(config, "config is null");
    config.subscribe(this::stopWithdrawn);
    timer.every(
        STALE_CHECK_MILLIS,
        () -> {
          if (!freshness.mayServeKeyedRoutes()) {
            stopAll();
          }
        });
  }

  /** The registration of one request; the request closes it when it ends. */
  public interface Registration extends AutoCloseable {
    @Override
    void close();
  }

  /**
   * Registers a request.
   *
   * @param keyDigest digest of its key; empty on a route that needs no key
   * @param stop called, possibly more than once, when the key is no longer known to be in force
   */
  public Registration register(Optional<String> keyDigest, Consumer<Refusal> stop) {
    long registrationId = registrationIds.incrementAndGet();
    if (keyDigest.isEmpty()) {
      return () -> {};
    }
    OpenRequest request = new OpenRequest(keyDigest.get(), stop);
    open.put(registrationId, request);
    // The key may have been withdrawn between its check and this registration.
    stopIfWithdrawn(config.current(), request);
    return () -> open.remove(registrationId);
  }

  /** Returns the number of open requests that use a key. */
  public int count() {
    return open.size();
  }

  private void stopWithdrawn(ConfigState state) {
    open.values().forEach(each -> stopIfWithdrawn(state, each));
  }

  private static void stopIfWithdrawn(ConfigState state, OpenRequest request) {
    if (state.grant(request.keyDigest()).isEmpty()) {
      request.stop().accept(Refusal.of(ResultCode.KEY_WITHDRAWN, "the key was withdrawn"));
    }
  }

  private void stopAll() {
    Refusal refusal =
        new Refusal(
            ResultCode.CONFIG_STALE,
            "keys can no longer be confirmed to be in force",
            ExecutionStatus.MAY_HAVE_RUN,
            STALE_RETRY_AFTER_MILLIS);
    open.values().forEach(each -> each.stop().accept(refusal));
  }
}
