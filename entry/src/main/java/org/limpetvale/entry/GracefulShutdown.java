package org.limpetvale.entry;

import com.google.common.flogger.FluentLogger;
import java.util.Objects;
import org.eclipse.jetty.server.Server;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.entry.http.DrainFilter;

/**
 * Stops the entry on SIGTERM without cutting a request.
 *
 * <p>The server listens on while the open requests end, so that a caller that the balancer still
 * sends here gets a refusal that says "not run" in the usual form; only then does it stop.
 */
final class GracefulShutdown implements Runnable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long POLL_MILLIS = 50;

  /**
   * Time to go on refusing after the last request, so that the balancer notices, in milliseconds.
   */
  private static final long REFUSAL_PERIOD_MILLIS = 1000;

  private final Server server;
  private final DrainFilter drain;
  private final TimerService timer;
  private final long graceMillis;

  GracefulShutdown(Server server, DrainFilter drain, TimerService timer, long graceMillis) {
    this.server = Objects.requireNonNull(server, "server is null");
    this.drain = Objects.requireNonNull(drain, "drain is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.graceMillis = graceMillis;
  }

  @Override
  public void run() {
    logger.atInfo().log("stopping: %d requests run", drain.active());
    drain.drain();
    long endMillis = timer.nowMillis() + graceMillis;
    while (drain.active() > 0 && timer.nowMillis() < endMillis) {
      timer.sleep(POLL_MILLIS);
    }
    timer.sleep(REFUSAL_PERIOD_MILLIS);
    try {
      server.stop();
    } catch (Exception e) {
      logger.atWarning().withCause(e).log("the server did not stop cleanly");
    }
  }
}
