package org.limpetvale.core.limit;

import java.util.BitSet;
import java.util.List;
import java.util.Objects;

/** The turns in which one entry may send to one upstream. Not safe for use by several threads. */
public final class OwnTurns {
  /** Number of turns that are looked ahead. */
  private static final int HORIZON_TURNS = 64;

  private final SendTurns turns;
  private final String self;
  private final List<String> members;

  /** The turns from {@link #firstKnown} on that are this entry's. */
  private BitSet own = new BitSet();

  private long firstKnown = Long.MIN_VALUE;

  private OwnTurns(SendTurns turns, String self, List<String> members) {
    this.turns = Objects.requireNonNull(turns, "turns is null");
    this.self = Objects.requireNonNull(self, "self is null");
    this.members = List.copyOf(members);
  }

  /**
   * Returns the turns of an entry.
   *
   * @param self id of the entry
   * @param members ids of all entries that share the limit; without this entry, it has no turns
   */
  public static OwnTurns of(SendTurns turns, String self, List<String> members) {
    return new OwnTurns(turns, self, members);
  }

  /** Returns the turns of all entries. */
  public SendTurns turns() {
    return turns;
  }

  /** Returns how many requests this entry may have sent in the turn in progress by now. */
  public int allowedSoFar(long fleetMillis) {
    return isOwn(turns.turnAt(fleetMillis)) ? turns.allowedSoFar(fleetMillis) : 0;
  }

  /**
   * Returns how many requests this entry may send in its turns from now on.
   *
   * @param fleetMillis current time
   * @param untilMillis time until which turns count
   * @param sentInTurn requests already sent in the turn in progress
   */
  public int allowedUntil(long fleetMillis, long untilMillis, int sentInTurn) {
    long current = turns.turnAt(fleetMillis);
    long last = Math.min(turns.turnAt(untilMillis), current + HORIZON_TURNS - 1);
    int allowed = isOwn(current) ? Math.max(0, turns.requestsPerTurn() - sentInTurn) : 0;
    for (long turn = current + 1; turn <= last; turn++) {
      allowed += isOwn(turn) ? turns.requestsPerTurn() : 0;
    }
    return allowed;
  }

  private boolean isOwn(long turn) {
    if (turn < firstKnown || turn >= firstKnown + 2L * HORIZON_TURNS) {
      computeFrom(turn);
    }
    return own.get((int) (turn - firstKnown));
  }

  private void computeFrom(long first) {
    firstKnown = first;
    own = new BitSet(2 * HORIZON_TURNS);
    for (int i = 0; i < 2 * HORIZON_TURNS; i++) {
      own.set(i, turns.owner(first + i, members).filter(self::equals).isPresent());
    }
  }
}
