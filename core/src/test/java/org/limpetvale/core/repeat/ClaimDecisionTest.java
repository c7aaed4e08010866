package org.limpetvale.core.repeat;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ClaimDecisionTest {
  private static final ClaimRow ROW = ClaimRow.claimed("t", "body");

  @Test
  void aNewCallRuns() {
    assertThat(ClaimDecision.of(Optional.empty(), "body")).isEqualTo(new ClaimDecision.Run());
  }

  @Test
  void aReleasedCallRunsAgain() {
    assertThat(ClaimDecision.of(Optional.of(ROW.withState(ClaimRow.State.RELEASED)), "body"))
        .isEqualTo(new ClaimDecision.Run());
  }

  @Test
  void aKeyReusedWithAnotherBodyIsRefusedInAnyState() {
    assertThat(ClaimDecision.of(Optional.of(ROW.withState(ClaimRow.State.RELEASED)), "other"))
        .isEqualTo(new ClaimDecision.BodyMismatch());
  }

  @Test
  void aCallThatMayHaveRunNeverRunsAgain() {
    assertThat(ClaimDecision.of(Optional.of(ROW), "body"))
        .isEqualTo(new ClaimDecision.InProgress());
    assertThat(ClaimDecision.of(Optional.of(ROW.withState(ClaimRow.State.UNKNOWN)), "body"))
        .isEqualTo(new ClaimDecision.MayHaveRun());
  }

  @Test
  void aFinishedCallReplaysItsStoredAnswer() {
    ClaimRow.StoredAnswer answer = new ClaimRow.StoredAnswer(201, "text/plain", "eA==");
    assertThat(ClaimDecision.of(Optional.of(ROW.finished(answer)), "body"))
        .isEqualTo(new ClaimDecision.Replay(answer));
  }
}
