package org.limpetvale.entry.config;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.limpetvale.core.config.ChangeRecord;
import org.limpetvale.core.config.ConfigState;

/** Holds the current configuration of this process; its version never decreases. */
public final class ConfigHolder {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_RECENT_CHANGES = 1024;

  private final AtomicReference<ConfigState> state = new AtomicReference<>(ConfigState.empty());
  private final Deque<ChangeRecord> recentChanges = new ArrayDeque<>();
  private final List<Consumer<ConfigState>> listeners = new CopyOnWriteArrayList<>();

  private ConfigHolder() {}

  /** Returns a holder with an empty configuration. */
  public static ConfigHolder empty() {
    return new ConfigHolder();
  }

  /** Returns the current configuration. */
  public ConfigState current() {
    return state.get();
  }

  /** Registers a listener that is called after each change of the current configuration. */
  public void subscribe(Consumer<ConfigState> listener) {
    listeners.add(Objects.requireNonNull(listener, "listener is null"));
  }

  /** Applies the changes that follow the current version; older changes are ignored. */
  public synchronized void install(List<ChangeRecord> changes) {
    ConfigState previous = state.get();
    ConfigState next = previous.applyAll(changes);
    if (next.version() == previous.version()) {
      return;
    }
    changes.stream()
        .filter(each -> each.version() > previous.version() && each.version() <= next.version())
        .forEach(this::retain);
    publish(next);
  }

  /** Installs a complete configuration if it is newer than the current one. */
  public synchronized void install(ConfigState snapshot) {
    if (snapshot.version() > state.get().version()) {
      recentChanges.clear();
      publish(snapshot);
    }
  }

  /** Returns the changes after a version, or empty if some are no longer retained. */
  public synchronized Optional<List<ChangeRecord>> changesAfter(long version) {
    if (version >= state.get().version()) {
      return Optional.of(List.of());
    }
    if (recentChanges.isEmpty() || recentChanges.peekFirst().version() > version + 1) {
      return Optional.empty();
    }
    return Optional.of(recentChanges.stream().filter(each -> each.version() > version).toList());
  }

  private void retain(ChangeRecord change) {
    recentChanges.addLast(change);
    if (recentChanges.size() > MAX_RECENT_CHANGES) {
      recentChanges.removeFirst();
    }
  }

  private void publish(ConfigState next) {
    state.set(next);
    logger.atInfo().log("configuration version=%d in force", next.version());
    listeners.forEach(each -> each.accept(next));
  }
}
