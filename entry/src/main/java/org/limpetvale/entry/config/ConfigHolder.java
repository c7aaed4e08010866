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

/** The configuration in force in this process; its version only rises. */
public final class ConfigHolder {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_RECENT_CHANGES = 1024;

  private final AtomicReference<ConfigState> state = new AtomicReference<>(ConfigState.empty());
  private final Deque<ChangeRecord> recent = new ArrayDeque<>();
  private final List<Consumer<ConfigState>> listeners = new CopyOnWriteArrayList<>();

  private ConfigHolder() {}

  /** Returns a holder of the empty configuration. */
  public static ConfigHolder empty() {
    return new ConfigHolder();
  }

  /** Returns the configuration in force. */
  public ConfigState current() {
    return state.get();
  }

  /** Calls a listener after each change of the configuration in force. */
  public void subscribe(Consumer<ConfigState> listener) {
    listeners.add(Objects.requireNonNull(listener, "listener is null"));
  }

  /** Installs changes that follow the version in force; older ones are passed over. */
  public synchronized void install(List<ChangeRecord> changes) {
    ConfigState old = state.get();
    ConfigState next = old.applyAll(changes);
    if (next.version() == old.version()) {
      return;
    }
    changes.stream()
        .filter(each -> each.version() > old.version() && each.version() <= next.version())
        .forEach(this::remember);
    publish(next);
  }

  /** Installs a whole configuration, if it is newer. */
  public synchronized void install(ConfigState snapshot) {
    if (snapshot.version() > state.get().version()) {
      recent.clear();
      publish(snapshot);
    }
  }

  /** Returns the changes after a version; empty when they no longer reach back that far. */
  public synchronized Optional<List<ChangeRecord>> changesAfter(long version) {
    if (version >= state.get().version()) {
      return Optional.of(List.of());
    }
    if (recent.isEmpty() || recent.peekFirst().version() > version + 1) {
      return Optional.empty();
    }
    return Optional.of(recent.stream().filter(each -> each.version() > version).toList());
  }

  private void remember(ChangeRecord change) {
    recent.addLast(change);
    if (recent.size() > MAX_RECENT_CHANGES) {
      recent.removeFirst();
    }
  }

  private void publish(ConfigState next) {
    state.set(next);
    logger.atInfo().log("configuration version=%d in force", next.version());
    listeners.forEach(each -> each.accept(next));
  }
}
