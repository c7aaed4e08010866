package org.limpetvale.forward.accept;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RequestBodyTest {
  private final BodyMemoryBudget memory = new BodyMemoryBudget();
  private final RequestBody body = RequestBody.incoming(memory);

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
    public void onPart(byte[] bytes) {
      room--;
      taken.add(bytes);
    }

    @Override
    public void onEnd() {
      ended = true;
    }
  }

  private void arrive(int size) {
    assertThat(memory.tryReserve(size)).isTrue();
    body.add(new byte[size]);
  }

  @Test
  void aReaderGetsWhatArrivesAndItsEndOnce() {
    Taker taker = new Taker(10);
    arrive(3);
    body.attach(taker);
    arrive(4);
    body.complete();
    assertThat(taker.taken).extracting(each -> each.length).containsExactly(3, 4);
    assertThat(taker.ended).isTrue();
    assertThat(body.isFullyBuffered()).isTrue();
    assertThat(body.bytes()).hasSize(7);
  }

  @Test
  void aSecondReaderGetsTheBodyFromItsBeginning() {
    Taker first = new Taker(10);
    body.attach(first);
    arrive(3);
    body.detach(first);
    arrive(4);
    body.complete();
    Taker second = new Taker(10);
    body.attach(second);
    assertThat(first.ended).isFalse();
    assertThat(second.taken).extracting(each -> each.length).containsExactly(3, 4);
    assertThat(second.ended).isTrue();
  }

  @Test
  void aReaderThatIsNotReadyStopsTheCallerUntilItTakesMore() {
    int[] rooms = {0};
    body.onDrain(() -> rooms[0]++);
    Taker taker = new Taker(0);
    body.attach(taker);
    arrive(RequestBody.MAX_PENDING_BYTES + 1);
    assertThat(body.isFull()).isTrue();
    int before = rooms[0];
    taker.room = 1;
    body.deliver();
    assertThat(body.isFull()).isFalse();
    assertThat(rooms[0]).isGreaterThan(before);
  }

  @Test
  void aBodyBeyondTheBoundIsLetGoOfAsItIsGivenAndCannotBeReadAgain() {
    Taker taker = new Taker(100);
    body.attach(taker);
    for (int i = 0; i < 10; i++) {
      arrive(RequestBody.MAX_REPLAY_BYTES / 4);
    }
    body.complete();
    assertThat(taker.taken).hasSize(10);
    assertThat(taker.ended).isTrue();
    assertThat(body.canReplay()).isFalse();
    assertThat(body.isFullyBuffered()).isFalse();
    assertThatThrownBy(() -> body.attach(new Taker(1))).isInstanceOf(IllegalStateException.class);
  }

  @Test
  void aBodyThatNobodyHasReadYetStaysReadableWhateverItsSize() {
    arrive(RequestBody.MAX_REPLAY_BYTES + 1);
    body.discardDelivered();
    Taker taker = new Taker(10);
    body.attach(taker);
    assertThat(taker.taken).hasSize(1);
  }

  @Test
  void closingGivesAllMemoryBack() {
    int whole = 24 * 1024 * 1024;
    assertThat(memory.tryReserve(whole)).isTrue();
    body.add(new byte[whole]);
    assertThat(memory.tryReserve(1)).isFalse();
    body.close();
    assertThat(memory.tryReserve(whole)).isTrue();
  }
}
