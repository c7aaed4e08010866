package org.limpetvale.sidecar;

import com.codahale.metrics.health.HealthCheck;
import java.util.Objects;

/** Reports on the admin port whether the upstream is up. */
final class UpstreamHealthCheck extends HealthCheck {
  private final SidecarState state;

  UpstreamHealthCheck(SidecarState state) {
    this.state = Objects.requireNonNull(state, "state is null");
  }

  @Override
  protected Result check() {
    return state.load().getUpstreamUp()
        ? Result.healthy()
        : Result.unhealthy("the upstream does not answer its health check");
  }
}
