package org.limpetvale.core.limit;

import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.placement.RendezvousHashing;

/**
 * Divides the limit of one upstream among the entries of a fleet, in time.
 *
 * <p>Time is cut into turns, and in each turn one entry alone may send to the upstream. Which one
 * follows from a hash of the upstream, the turn and the entry's id, so the entries agree without
 * talking to each other. What an entry does not use in its turn is lost, hence entries that were
 * idle cannot send together. A window of {@code w} seconds overlaps at most {@code w / turn + 2}
 * turns, so it contains at most {@code w * rate} requests and those of two turns.
 *
 * <p>Entries that count different members use different turns: one that misses members takes turns
 * that are theirs as well. On average, an entry that counts {@code n} members uses {@code 1 / n} of
 * the limit.
 *
 * @param upstreamId id of the upstream
 * @param requestsPerSecond requests that all entries together may send per second
 * @param requestsPerTurn requests that may be sent in one turn
 */
public record SendTurns(String upstreamId, double requestsPerSecond, int requestsPerTurn) {
  /**
   * Lowest rate. A limit of zero would never be heard to end, because nobody would send a request
   * whose response could say so.
   */
  private static final double MIN_REQUESTS_PER_SECOND = 0.1;

  /** Rate above which a limit is of no effect in practice, and turns would be too short. */
  private static final double MAX_REQUESTS_PER_SECOND = 10_000;

  /** Length of a turn if the limit allows a request in that time. */
  private static final double TURN_SECONDS = 0.5;

  private static final double MILLIS_PER_SECOND = 1_000;

  public SendTurns {
    Objects.requireNonNull(upstreamId, "upstreamId is null");
    requestsPerSecond =
        Math.clamp(requestsPerSecond, MIN_REQUESTS_PER_SECOND, MAX_REQUESTS_PER_SECOND);
    requestsPerTurn = Math.max(1, requestsPerTurn);
  }

  /** Creates turns that last half a second, or as long as the limit allows no request. */
  public SendTurns(String upstreamId, double requestsPerSecond) {
    this(
        upstreamId,
        requestsPerSecond,
        (int) Math.ceil(Math.min(requestsPerSecond, MAX_REQUESTS_PER_SECOND) * TURN_SECONDS));
  }

  /**
   * Returns turns of one request each, which bound also short windows: any second contains at most
   * {@code requestsPerSecond + 2} requests.
   */
  public static SendTurns ofSingleRequests(String upstreamId, double requestsPerSecond) {
    return new SendTurns(upstreamId, requestsPerSecond, 1);
  }

  /** Returns the length of a turn in milliseconds. */
  public double turnMillis() {
    return requestsPerTurn() / requestsPerSecond * MILLIS_PER_SECOND;
  }

  /** Returns the number of the turn at a time. */
  public long turnAt(long fleetMillis) {
    return (long) Math.floor(fleetMillis / turnMillis());
  }

  /** Returns the time since the start of the turn in progress. */
  public double elapsedMillis(long fleetMillis) {
    return fleetMillis - turnAt(fleetMillis) * turnMillis();
  }

  /** Returns the number of requests that may have been sent by a time of the turn in progress. */
  public int allowedSoFar(long fleetMillis) {
    double elapsedShare = elapsedMillis(fleetMillis) / turnMillis();
    return Math.min(requestsPerTurn(), 1 + (int) (elapsedShare * requestsPerTurn()));
  }

  /** Returns the member whose turn it is; empty without members. */
  public Optional<String> owner(long turn, Collection<String> members) {
    return RendezvousHashing.first(upstreamId, turn, members);
  }
}
