package org.limpetvale.forward.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Runs seeded schedules of streams that are interrupted at any byte and resumed at another upstream
 * after the last complete event. The caller must receive each event once, in order and complete.
 */
final class ResumeExplorationTest {
  private static final int SCHEDULES = 10_000;
  private static final int MUTANT_SCHEDULES = 200;

  /** Faults that the check must detect. */
  private enum Mutant {
    NONE,
    /** Forwards bytes of incomplete events. */
    FORWARDS_INCOMPLETE_EVENTS,
    /** Resumes after an event that is incomplete. */
    COUNTS_INCOMPLETE_EVENTS,
    /** Takes each close of an upstream for the end of the stream. */
    TAKES_EACH_CLOSE_FOR_THE_END
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

  private static boolean fails(long seed, Mutant mutant) {
    Random random = new Random(seed);
    String lineEnd = random.nextInt(4) == 0 ? "\r\n" : "\n";
    int count = 1 + random.nextInt(12);
    ByteArrayOutputStream forwarded = new ByteArrayOutputStream();
    int after = 0;
    for (boolean complete = false; !complete; ) {
      EventStreamBuffer buffer = EventStreamBuffer.empty();
      byte[] stream = events(after + 1, count, random, lineEnd);
      int end = random.nextBoolean() ? stream.length : random.nextInt(stream.length + 1);
      for (int at = 0; at < end; ) {
        int length = Math.min(end - at, 1 + random.nextInt(40));
        byte[] part = Arrays.copyOfRange(stream, at, at + length);
        byte[] completeEvents = buffer.append(part);
        forwarded.writeBytes(mutant == Mutant.FORWARDS_INCOMPLETE_EVENTS ? part : completeEvents);
        at += length;
      }
      complete = isTakenForTheEnd(stream, end, random, mutant);
      Optional<String> last = buffer.lastId();
      after = last.map(Integer::parseInt).orElse(after);
      if (mutant == Mutant.COUNTS_INCOMPLETE_EVENTS && !complete && end > 0) {
        after = Math.min(count, after + 1);
      }
    }
    return !containsEachEventOnce(forwarded.toString(StandardCharsets.UTF_8), count);
  }

  /**
   * Returns whether a stream that its upstream ended at a byte is taken for complete. A cut between
   * two events is a reset, as nothing but that tells it from the end.
   */
  private static boolean isTakenForTheEnd(byte[] stream, int end, Random random, Mutant mutant) {
    EventStreamScanner scanner = new EventStreamScanner();
    for (int i = 0; i < end; i++) {
      scanner.accept(stream[i]);
    }
    boolean whole = end == stream.length;
    if (!whole && scanner.events() > 0 && scanner.isBetweenEvents()) {
      return false;
    }
    ResponseEnd.Signal signal =
        whole && random.nextBoolean()
            ? ResponseEnd.Signal.FRAMING
            : ResponseEnd.Signal.UPSTREAM_CLOSE;
    ResponseEnd decided = ResponseEnd.of(signal, Optional.of(scanner), false);
    return mutant == Mutant.TAKES_EACH_CLOSE_FOR_THE_END || decided instanceof ResponseEnd.Complete;
  }

  /** Returns whether a text consists of the events 1 to count, each once and complete. */
  private static boolean containsEachEventOnce(String text, int count) {
    String plain = text.replaceAll("\r\n?", "\n").replace("weights: 3\n", "");
    StringBuilder wanted = new StringBuilder();
    for (int number = 1; number <= count; number++) {
      wanted.append("id: ").append(number).append("\ndata: part of ").append(number).append("\n\n");
    }
    return plain.contentEquals(wanted);
  }

  private static Optional<Long> firstFailingSeed(int schedules, Mutant mutant) {
    for (long seed = 0; seed < schedules; seed++) {
      if (fails(seed, mutant)) {
        return Optional.of(seed);
      }
    }
    return Optional.empty();
  }

  @Test
  void eachEventArrivesOnceInOrderAndComplete() {
    assertThat(firstFailingSeed(SCHEDULES, Mutant.NONE)).as("seed of a failing schedule").isEmpty();
  }

  @Test
  void theCheckDetectsACloseThatIsTakenForTheEnd() {
    assertThat(firstFailingSeed(MUTANT_SCHEDULES, Mutant.TAKES_EACH_CLOSE_FOR_THE_END)).isPresent();
  }

  @Test
  void theCheckDetectsForwardedIncompleteEvents() {
    assertThat(firstFailingSeed(MUTANT_SCHEDULES, Mutant.FORWARDS_INCOMPLETE_EVENTS)).isPresent();
  }

  @Test
  void theCheckDetectsResumingAfterAnIncompleteEvent() {
    assertThat(firstFailingSeed(MUTANT_SCHEDULES, Mutant.COUNTS_INCOMPLETE_EVENTS)).isPresent();
  }
}
