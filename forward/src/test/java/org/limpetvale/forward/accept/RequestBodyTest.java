package org.limpetvale.forward.accept;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RequestBodyTest {
  private static final int BUDGET_BYTES = 24 * 1024 * 1024;

  private final CallerMemoryBudget memory = CallerMemoryBudget.of(BUDGET_BYTES);
  private final RequestBody body = RequestBody.incoming(memory);

  /** Accepts a given number of parts. */
  private static final class LimitedReader implements RequestBody.Reader {
    private final List<byte[]> received = new ArrayList<>();
    private int capacity;
    private boolean ended;

    LimitedReader(int capacity) {
      this.capacity = capacity;
    }

    @Override
    public boolean isReady() {
      return capacity > 0;
    }

    @Override
    public void onPart(byte[] bytes) {
      capacity--;
      received.add(bytes);
    }

    @Override
    public void onEnd() {
      ended = true;
    }
  }

  private void receive(int size) {
    assertThat(memory.tryReserve(size)).isTrue();
    body.add(new byte[size]);
  }

  @Test
  void aReaderReceivesAllPartsAndTheEndOnce() {
    LimitedReader reader = new LimitedReader(10);
    receive(3);
    body.attach(reader);
    receive(4);
    body.complete();
    assertThat(reader.received).extracting(each -> each.length).containsExactly(3, 4);
    assertThat(reader.ended).isTrue();
    assertThat(body.isFullyBuffered()).isTrue();
    assertThat(body.bytes()).hasSize(7);
  }

  @Test
  void aSecondReaderReceivesTheBodyFromItsBeginning() {
    LimitedReader first = new LimitedReader(10);
    body.attach(first);
    receive(3);
    body.detach(first);
    receive(4);
    body.complete();
    LimitedReader second = new LimitedReader(10);
    body.attach(second);
    assertThat(first.ended).isFalse();
    assertThat(second.received).extracting(each -> each.length).containsExactly(3, 4);
    assertThat(second.ended).isTrue();
  }

  @Test
  void aBodyIsFullWhileItsReaderIsNotReady() {
    int[] drains = {0};
    body.onDrain(() -> drains[0]++);
    LimitedReader reader = new LimitedReader(0);
    body.attach(reader);
    receive(RequestBody.MAX_PENDING_BYTES + 1);
    assertThat(body.isFull()).isTrue();
    int before = drains[0];
    reader.capacity = 1;
    body.deliver();
    assertThat(body.isFull()).isFalse();
    assertThat(drains[0]).isGreaterThan(before);
  }

  @Test
  void aBodyAboveTheReplayLimitIsReleasedOnDeliveryAndCannotBeReplayed() {
    LimitedReader reader = new LimitedReader(100);
    body.attach(reader);
    for (int i = 0; i < 10; i++) {
      receive(RequestBody.MAX_REPLAY_BYTES / 4);
    }
    body.complete();
    assertThat(reader.received).hasSize(10);
    assertThat(reader.ended).isTrue();
    assertThat(body.canReplay()).isFalse();
    assertThat(body.isFullyBuffered()).isFalse();
    assertThatThrownBy(() -> body.attach(new LimitedReader(1)))
        .isInstanceOf(IllegalStateException.class);
  }

  @Test
  void anUndeliveredBodyIsRetainedWhateverItsSize() {
    receive(RequestBody.MAX_REPLAY_BYTES + 1);
    body.discardDelivered();
    LimitedReader reader = new LimitedReader(10);
    body.attach(reader);
    assertThat(reader.received).hasSize(1);
  }

  @Test
  void closingReleasesAllMemory() {
    int whole = BUDGET_BYTES;
    assertThat(memory.tryReserve(whole)).isTrue();
    body.add(new byte[whole]);
    assertThat(memory.tryReserve(1)).isFalse();
    body.close();
    assertThat(memory.tryReserve(whole)).isTrue();
  }
}
