package org.limpetvale.entry.upstream;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.ports.ReadResult;
import org.limpetvale.ports.Vm;
import org.limpetvale.ports.VmList;

/** Caches the VM list; the last list read stays in use while the source is unavailable. */
public final class VmDirectory {
  private static final long REFRESH_PERIOD_MILLIS = 1000;

  private final VmList source;
  private final TimerService timer;
  private final AtomicReference<List<Vm>> vms = new AtomicReference<>(List.of());
  private final List<Consumer<List<Vm>>> listeners = new CopyOnWriteArrayList<>();
  private volatile boolean loaded;

  /** Creates an empty directory; {@link #start} loads the list. */
  public VmDirectory(VmList source, TimerService timer) {
    this.source = Objects.requireNonNull(source, "source is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /** Reads the list, then refreshes it periodically in the background. */
  public void start() {
    refresh();
    timer.every(REFRESH_PERIOD_MILLIS, this::refresh);
  }

  /** Calls a listener with the current list and after each change. */
  public void subscribe(Consumer<List<Vm>> listener) {
    listeners.add(Objects.requireNonNull(listener, "listener is null"));
    listener.accept(vms.get());
  }

  /** Returns all VMs of the list last read. */
  public List<Vm> all() {
    return vms.get();
  }

  /** Returns the entry VMs other than the given one. */
  public List<Vm> peers(String selfVm) {
    return vms.get().stream()
        .filter(vm -> vm.role() == Vm.Role.ENTRY && !vm.name().equals(selfVm))
        .toList();
  }

  /** Returns whether a list has been read and the latest one does not contain the VM. */
  public boolean isGone(String vm) {
    return loaded && vms.get().stream().noneMatch(each -> each.name().equals(vm));
  }

  private void refresh() {
    if (source.list() instanceof ReadResult.Success<List<Vm>>(List<Vm> read)) {
      loaded = true;
      List<Vm> old = vms.getAndSet(read);
      if (!old.equals(read)) {
        listeners.forEach(each -> each.accept(read));
      }
    }
  }
}
