package org.limpetvale.forward.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Runs seeded schedules of streams that are interrupted at any byte and resumed at another upstream
 * after the last complete event, where some upstreams answer with an error of any kind instead, cut
 * or whole. The caller must receive each event once, in order and complete, and nothing else.
 */
final class ResumeExplorationTest {
  private static final int SCHEDULES = 10_000;
  private static final int MUTANT_SCHEDULES = 200;
  private static final String EVENT_STREAM = "text/event-stream";
  private static final int[] ERROR_STATUSES = {204, 205, 206, 302, 404, 421, 500, 503};

  /** Faults that the check must detect. */
  private enum Mutant {
    NONE,
    /** Forwards bytes of incomplete events. */
    FORWARDS_INCOMPLETE_EVENTS,
    /** Resumes after an event that is incomplete. */
    COUNTS_INCOMPLETE_EVENTS,
    /** Takes each close of an upstream for the end of the stream. */
    TAKES_EACH_CLOSE_FOR_THE_END,
    /** Goes on with an answer of any status, type and encoding. */
    APPENDS_ANOTHER_REPRESENTATION,
    /** Goes on with a success whatever its type is. */
    APPENDS_ANY_SUCCESS,
    /** Goes on with events that do not follow the last one. */
    APPENDS_EVENTS_OUT_OF_PLACE
  }

  /** The header and the body of an answer. */
  private record Answer(HttpResponse head, byte[] body) {}

  private static HttpResponse head(int status, String contentType, String contentEncoding) {
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    head.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    if (!contentEncoding.isEmpty()) {
      head.headers().set(HttpHeaderNames.CONTENT_ENCODING, contentEncoding);
    }
    return head;
  }

  private static HttpResponse eventStreamHead(Random random) {
    String type = random.nextBoolean() ? "text/event-stream" : "Text/Event-Stream; charset=utf-8";
    return head(200, type, "");
  }

  /** Returns an answer to a resumed request that is not the rest of its stream. */
  private static Answer error(int after, int count, Random random, String lineEnd) {
    return random.nextBoolean()
        ? new Answer(eventStreamHead(random), errorBody(random.nextInt(4), after, count, lineEnd))
        : new Answer(errorHead(random), errorBody(random.nextInt(6), after, count, lineEnd));
  }

  private static HttpResponse errorHead(Random random) {
    return switch (random.nextInt(4)) {
      case 0 -> head(200, "application/json", "");
      case 1 -> head(200, EVENT_STREAM, "gzip");
      default -> head(ERROR_STATUSES[random.nextInt(ERROR_STATUSES.length)], EVENT_STREAM, "");
    };
  }

  /** Returns the body of an error; the last two kinds differ from a stream by their header only. */
  private static byte[] errorBody(int kind, int after, int count, String lineEnd) {
    String blankLine = lineEnd + lineEnd;
    String text =
        switch (kind) {
          case 0 -> "{\"error\": \"no memory\"}";
          case 1 -> "no memory" + blankLine;
          case 2 -> "event: error" + lineEnd + "data: no memory" + blankLine;
          case 3 ->
              new String(events(1, count, new Random(after), lineEnd), StandardCharsets.UTF_8);
          case 4 -> "id: " + (after + 1) + lineEnd + "data: no memory" + blankLine;
          default -> "";
        };
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Returns whether an answer's events are appended to the stream that has begun. */
  private static boolean mayContinue(Representation first, HttpResponse head, Mutant mutant) {
    return switch (mutant) {
      case APPENDS_ANOTHER_REPRESENTATION -> true;
      case APPENDS_ANY_SUCCESS -> StatusCode.of(head).isSuccess();
      default -> first.equals(Representation.of(head));
    };
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
    Representation first = Representation.of(eventStreamHead(random));
    int after = 0;
    for (boolean complete = false; !complete; ) {
      Answer answer =
          after > 0 && random.nextInt(3) == 0
              ? error(after, count, random, lineEnd)
              : new Answer(eventStreamHead(random), events(after + 1, count, random, lineEnd));
      if (!mayContinue(first, answer.head(), mutant)) {
        continue;
      }
      EventStreamBuffer buffer =
          EventStreamBuffer.resumedAfter(
              Optional.of(after).filter(id -> id > 0).map(String::valueOf));
      byte[] stream = answer.body();
      int end = random.nextBoolean() ? stream.length : random.nextInt(stream.length + 1);
      boolean outOfPlace = false;
      for (int at = 0; at < end && !outOfPlace; ) {
        int length = Math.min(end - at, 1 + random.nextInt(40));
        byte[] part = Arrays.copyOfRange(stream, at, at + length);
        byte[] completeEvents = buffer.append(part);
        outOfPlace =
            buffer.discontinuity().isPresent() && mutant != Mutant.APPENDS_EVENTS_OUT_OF_PLACE;
        if (!outOfPlace) {
          forwarded.writeBytes(mutant == Mutant.FORWARDS_INCOMPLETE_EVENTS ? part : completeEvents);
        }
        at += length;
      }
      if (outOfPlace && !buffer.canBeResumed()) {
        return !containsEachEventOnce(forwarded.toString(StandardCharsets.UTF_8), after);
      }
      complete = !outOfPlace && isTakenForTheEnd(stream, end, random, mutant);
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
    EventStreamScanner scanner = EventStreamScanner.ofDeclared();
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

  @Test
  void theCheckDetectsAnErrorThatIsAppendedWhateverItsHeaderSays() {
    assertThat(firstFailingSeed(MUTANT_SCHEDULES, Mutant.APPENDS_ANOTHER_REPRESENTATION))
        .isPresent();
  }

  @Test
  void theCheckDetectsASuccessOfAnotherKindThatIsAppended() {
    assertThat(firstFailingSeed(MUTANT_SCHEDULES, Mutant.APPENDS_ANY_SUCCESS)).isPresent();
  }

  @Test
  void theCheckDetectsEventsOutOfPlaceThatAreAppended() {
    assertThat(firstFailingSeed(MUTANT_SCHEDULES, Mutant.APPENDS_EVENTS_OUT_OF_PLACE)).isPresent();
  }
}
