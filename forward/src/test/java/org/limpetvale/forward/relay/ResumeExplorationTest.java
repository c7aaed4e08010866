package org.limpetvale.forward.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Seeded schedules of streams that break off at any byte and go on at another upstream after the
 * last whole event: the caller gets each event once, in order and whole.
 */
final class ResumeExplorationTest {
  private static final int SCHEDULES = 10_000;
  private static final int MUTANT_SCHEDULES = 200;

  /** What a broken relay would do otherwise. */
  private enum Mutant {
    NONE,
    /** Passes on bytes of events that have not ended. */
    PASSES_PARTS,
    /** Goes on after an event that has only begun. */
    COUNTS_BEGUN_EVENTS
  }

  private static byte[] events(int from, int to, Random random, String lineEnd) {
    StringBuilder text = new StringBuilder();
    for (int number = from; number <= to; number++) {
      boolean versionFirst = random.nextInt(5) == 0;
      text.append(versionFirst ? "weights: 3" + lineEnd : "");
      text.append("id: ").append(number).append(lineEnd);
      text.append("data: part of ").append(number).append(lineEnd).append(lineEnd);
    }
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static boolean broken(long seed, Mutant mutant) {
    Random random = new Random(seed);
    String lineEnd = random.nextInt(4) == 0 ? "\r\n" : "\n";
    int count = 1 + random.nextInt(12);
    ByteArrayOutputStream passed = new ByteArrayOutputStream();
    int after = 0;
    for (boolean complete = false; !complete; ) {
      EventStreamBuffer boundary = new EventStreamBuffer();
      byte[] stream = events(after + 1, count, random, lineEnd);
      int end = random.nextBoolean() ? stream.length : random.nextInt(stream.length + 1);
      complete = end == stream.length;
      for (int at = 0; at < end; ) {
        int length = Math.min(end - at, 1 + random.nextInt(40));
        byte[] part = Arrays.copyOfRange(stream, at, at + length);
        byte[] whole = boundary.append(part);
        passed.writeBytes(mutant == Mutant.PASSES_PARTS ? part : whole);
        at += length;
      }
      Optional<String> last = boundary.lastId();
      after = last.map(Integer::parseInt).orElse(after);
      if (mutant == Mutant.COUNTS_BEGUN_EVENTS && !complete && end > 0) {
        after = Math.min(count, after + 1);
      }
      if (complete) {
        passed.writeBytes(boundary.drainPartial());
      }
    }
    return !idsAreWhole(passed.toString(StandardCharsets.UTF_8), count);
  }

  /** Tells whether a text holds the events 1 to count, each once and whole. */
  private static boolean idsAreWhole(String text, int count) {
    String plain = text.replace("\r\n", "\n").replace("weights: 3\n", "");
    StringBuilder wanted = new StringBuilder();
    for (int number = 1; number <= count; number++) {
      wanted.append("id: ").append(number).append("\ndata: part of ").append(number).append("\n\n");
    }
    return plain.contentEquals(wanted);
  }

  private static Optional<Long> firstBroken(int schedules, Mutant mutant) {
    for (long seed = 0; seed < schedules; seed++) {
      if (broken(seed, mutant)) {
        return Optional.of(seed);
      }
    }
    return Optional.empty();
  }

  @Test
  void eachEventArrivesOnceInOrderAndWhole() {
    assertThat(firstBroken(SCHEDULES, Mutant.NONE)).as("seed of a broken stream").isEmpty();
  }

  @Test
  void theCheckFindsARelayThatPassesPartsOfEvents() {
    assertThat(firstBroken(MUTANT_SCHEDULES, Mutant.PASSES_PARTS)).isPresent();
  }

  @Test
  void theCheckFindsARelayThatCountsEventsThatHaveOnlyBegun() {
    assertThat(firstBroken(MUTANT_SCHEDULES, Mutant.COUNTS_BEGUN_EVENTS)).isPresent();
  }
}
