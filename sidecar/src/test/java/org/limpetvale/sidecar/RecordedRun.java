package org.limpetvale.sidecar;

import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.List;
import org.limpetvale.ports.time.ThreadTimerService;
import org.limpetvale.wire.Open;
import org.limpetvale.wire.RunEvent;
import org.limpetvale.wire.SidecarLoad;

/** Runs attempts for tests and records their events. */
final class RecordedRun {
  private RecordedRun() {}

  /** Runs an attempt to its end and returns its events in order. */
  static List<RunEvent> events(UpstreamRunner runner, Open open, ThreadTimerService timer) {
    List<RunEvent> events = new ArrayList<>();
    Attempt attempt = new Attempt(open, 1, timer, SidecarLoad::getDefaultInstance);
    attempt.attach(
        new StreamObserver<>() {
          @Override
          public void onNext(RunEvent event) {
            events.add(event);
          }

          @Override
          public void onError(Throwable failure) {}

          @Override
          public void onCompleted() {}
        },
        0);
    runner.run(attempt);
    return events;
  }
}
