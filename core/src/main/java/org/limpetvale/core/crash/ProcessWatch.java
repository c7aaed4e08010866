package org.limpetvale.core.crash;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Tells whether upstream processes that lost requests have ended or are alive.
 *
 * <p>A refused connection shows neither: a network partition refuses connections too. A process has
 * ended once its description is gone or replaced. It is alive if it writes its description again
 * after the loss. A heartbeat that is read right after the loss may have been written before it, so
 * only one that follows a later read counts.
 */
final class ProcessWatch {
  private static final int MAX_PROCESSES = 4_096;

  /** Processes with evidence, until they are found alive. */
  private final BoundedMap<Watch> watches = BoundedMap.of(MAX_PROCESSES);

  private final Set<String> alive = new HashSet<>();
  private Set<String> running = Set.of();

  /**
   * A process whose state is unknown.
   *
   * @param lossMillis when the evidence against it became known
   * @param readSince whether the descriptions were read after that
   */
  private record Watch(long lossMillis, boolean readSince) {}

  /** Records that a connection to a process was lost, which may have ended since. */
  void connectionLost(String process, long nowMillis) {
    alive.remove(process);
    watches.putNewest(process, new Watch(nowMillis, false));
  }

  /** Records that another entry reports a crash of a process. */
  void reportedByPeer(String process, long nowMillis) {
    if (running.contains(process) && !alive.contains(process)) {
      watches.putIfAbsent(process, new Watch(nowMillis, false));
    }
  }

  /**
   * Records the processes that are described now.
   *
   * @return those that have ended since the last call
   */
  Set<String> setRunning(Set<String> processes) {
    Set<String> ended = new HashSet<>(running);
    ended.removeAll(processes);
    running = Set.copyOf(processes);
    alive.retainAll(running);
    watches.keySet().removeAll(ended);
    return ended;
  }

  /**
   * Records a read of the descriptions.
   *
   * @param sentMillis when the reading call was sent
   * @param heartbeats processes that have written their description since the read before
   * @return the watched processes that are thereby known to be alive
   */
  Set<String> recordRead(long sentMillis, Collection<String> heartbeats) {
    Set<String> found = new HashSet<>();
    for (String process : heartbeats) {
      Watch watch = watches.get(process);
      if (watch != null && watch.readSince()) {
        found.add(process);
        alive.add(process);
        watches.remove(process);
      }
    }
    watches.replaceAll(
        (process, watch) ->
            new Watch(watch.lossMillis(), watch.readSince() || sentMillis > watch.lossMillis()));
    return found;
  }

  /** Returns whether a process was found alive after all that is held against it. */
  boolean isAlive(String process) {
    return alive.contains(process);
  }

  /** Returns whether a process is known to have ended. */
  boolean hasEnded(String process) {
    return !running.contains(process);
  }

  /** Returns whether no process is watched, so that reads need not be recorded. */
  boolean isIdle() {
    return watches.isEmpty();
  }
}
