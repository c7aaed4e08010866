package org.limpetvale.forward.duty;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.limpetvale.core.fleet.FleetConfig;
import org.limpetvale.core.fleet.FleetView;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.account.UsageCounts;
import org.limpetvale.forward.log.EventLog;
import org.limpetvale.forward.peer.PeerReports;
import org.limpetvale.forward.place.UpstreamStates;
import org.limpetvale.forward.spi.DutyClient;
import org.limpetvale.forward.testing.InMemoryStore;
import org.limpetvale.forward.testing.ManualTimer;
import org.limpetvale.forward.testing.ProcessLifecycle;
import org.limpetvale.forward.time.FleetClock;

/** One entry's process in virtual time, reduced to what uses the store and the duties. */
final class DutyProcess {
  static final long RETRY_WINDOW_MILLIS = 10_000;

  private static final InetSocketAddress PEER_ADDRESS = new InetSocketAddress("127.0.0.1", 1);

  final ProcessLifecycle life = new ProcessLifecycle();
  final TimerService time;
  final UsageCounts usage;
  final PeerReports peers;
  final Members members;
  final DutyLoop loop;

  /**
   * The environment that processes share.
   *
   * @param scaled name of the service whose waiting requests are reported as demand; empty if no
   *     service is scaled
   * @param ownClocks whether each process counts usage on its own clock, which a suspension puts
   *     behind, as the daemon does
   */
  record Environment(
      ManualTimer timer,
      InMemoryStore store,
      long windowMillis,
      long settleMillis,
      Optional<FleetConfig> config,
      FleetView fleet,
      String scaled,
      boolean ownClocks) {
    /** Returns an environment without upstreams or configuration. */
    static Environment of(
        ManualTimer timer, InMemoryStore store, long windowMillis, long settleMillis) {
      return new Environment(
          timer, store, windowMillis, settleMillis, Optional.empty(), FleetView.empty(), "", false);
    }
  }

  /** Creates the platform client of a process. */
  interface ClientFactory {
    DutyClient of(ProcessLifecycle life);
  }

  private DutyProcess(
      Environment environment,
      String name,
      String boot,
      ClientFactory clients,
      IntSupplier waiting) {
    time = life.timer(environment.timer());
    FleetClock clock = FleetClock.of(time);
    usage =
        UsageCounts.of(
            environment.windowMillis(),
            environment.ownClocks() ? clock::millis : environment.timer()::wallMillis);
    peers = PeerReports.of(time);
    members = Members.of(RETRY_WINDOW_MILLIS, time);
    DutyClient client = clients.of(life);
    Demand demand =
        new Demand(
            environment::fleet,
            UpstreamStates.empty(),
            peers,
            () -> Map.of(environment.scaled(), waiting.getAsInt()));
    ScalingDuty scaling =
        ScalingDuty.of(
            name, environment::config, environment::fleet, demand, client, time, EventLog.silent());
    loop =
        DutyLoop.of(
            new DutyLoop.Identity(name, boot, PEER_ADDRESS, environment.settleMillis()),
            environment.store().clientOf(life),
            client,
            usage,
            scaling,
            members,
            SharedSuspects.none(),
            peers,
            clock,
            time,
            EventLog.silent());
  }

  /** Starts a process. */
  static DutyProcess start(
      Environment environment,
      String name,
      String boot,
      ClientFactory clients,
      IntSupplier waiting) {
    DutyProcess process = new DutyProcess(environment, name, boot, clients, waiting);
    process.loop.start();
    return process;
  }
}
