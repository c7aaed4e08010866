package org.limpetvale.forward.accept;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RequestBodyTest {
  private final BodyMemory memory = new BodyMemory();
  private final RequestBody body = RequestBody.arriving(memory);

  /** A reader that takes as many parts as it is told to. */
  private static final class Taker implements RequestBody.Reader {
    private final List<byte[]> taken = new ArrayList<>();
    private int room;
    private boolean ended;

    Taker(int room) {
      this.room = room;
    }

    @Override
    public boolean isReady() {
      return room > 0;
    }

    @Override
    public void part(byte[] bytes) {
      room--;
      taken.add(bytes);
    }

    @Override
    public void end() {
      ended = true;
    }
  }

  private void arrive(int size) {
    assertThat(memory.tryHold(size)).isTrue();
    body.add(new byte[size]);
  }

  @Test
  void aReaderGetsWhatArrivesAndItsEndOnce() {
    Taker taker = new Taker(10);
    arrive(3);
    body.readBy(taker);
    arrive(4);
    body.end();
    assertThat(taker.taken).extracting(each -> each.length).containsExactly(3, 4);
    assertThat(taker.ended).isTrue();
    assertThat(body.isWhole()).isTrue();
    assertThat(body.bytes()).hasSize(7);
  }

  @Test
  void aSecondReaderGetsTheBodyFromItsBeginning() {
    Taker first = new Taker(10);
    body.readBy(first);
    arrive(3);
    body.leave(first);
    arrive(4);
    body.end();
    Taker second = new Taker(10);
    body.readBy(second);
    assertThat(first.ended).isFalse();
    assertThat(second.taken).extracting(each -> each.length).containsExactly(3, 4);
    assertThat(second.ended).isTrue();
  }

  @Test
  void aReaderThatIsNotReadyStopsTheCallerUntilItTakesMore() {
    int[] rooms = {0};
    body.onRoom(() -> rooms[0]++);
    Taker taker = new Taker(0);
    body.readBy(taker);
    arrive(RequestBody.MOST_WAITING_BYTES + 1);
    assertThat(body.isFull()).isTrue();
    int before = rooms[0];
    taker.room = 1;
    body.pump();
    assertThat(body.isFull()).isFalse();
    assertThat(rooms[0]).isGreaterThan(before);
  }

  @Test
  void aBodyBeyondTheBoundIsLetGoOfAsItIsGivenAndCannotBeReadAgain() {
    Taker taker = new Taker(100);
    body.readBy(taker);
    for (int i = 0; i < 10; i++) {
      arrive(RequestBody.MOST_KEPT_BYTES / 4);
    }
    body.end();
    assertThat(taker.taken).hasSize(10);
    assertThat(taker.ended).isTrue();
    assertThat(body.canReplay()).isFalse();
    assertThat(body.isWhole()).isFalse();
    assertThatThrownBy(() -> body.readBy(new Taker(1))).isInstanceOf(IllegalStateException.class);
  }

  @Test
  void aBodyThatNobodyHasReadYetStaysReadableWhateverItsSize() {
    arrive(RequestBody.MOST_KEPT_BYTES + 1);
    body.keepNoLonger();
    Taker taker = new Taker(10);
    body.readBy(taker);
    assertThat(taker.taken).hasSize(1);
  }

  @Test
  void closingGivesAllMemoryBack() {
    int whole = 24 * 1024 * 1024;
    assertThat(memory.tryHold(whole)).isTrue();
    body.add(new byte[whole]);
    assertThat(memory.tryHold(1)).isFalse();
    body.close();
    assertThat(memory.tryHold(whole)).isTrue();
  }
}
