package org.limpetvale.forward.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class EventLogTest {
  /** Keeps what is written; on the first write, logs another line and closes the log. */
  private static final class ClosingOutput extends ByteArrayOutputStream {
    final CountDownLatch closed = new CountDownLatch(1);
    final CountDownLatch second = new CountDownLatch(1);
    EventLog log;

    @Override
    public void write(byte[] bytes) {
      writeBytes(bytes);
      if (closed.getCount() == 0) {
        second.countDown();
        return;
      }
      log.stateChange("stopped");
      log.close();
      closed.countDown();
    }
  }

  @Test
  void aLineLoggedWhileTheWriterIsBusyIsWrittenWhenTheLogCloses() throws InterruptedException {
    ClosingOutput out = new ClosingOutput();
    out.log = EventLog.of(out, "entry");
    out.log.stateChange("stopping");
    assertThat(out.closed.await(10, TimeUnit.SECONDS)).isTrue();
    assertThat(out.second.await(10, TimeUnit.SECONDS)).isTrue();
    assertThat(out.toString(StandardCharsets.UTF_8).lines())
        .satisfiesExactly(
            line -> assertThat(line).contains("stopping"),
            line -> assertThat(line).contains("stopped"));
  }

  @Test
  void aLogThatClosesRightAfterItsStartWritesItsLines() {
    for (int i = 0; i < 200; i++) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      EventLog log = EventLog.of(out, "entry");
      log.stateChange("started");
      log.close();
      assertThat(out.toString(StandardCharsets.UTF_8)).contains("started");
    }
  }
}
