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

/** One entry's process as far as the store and the duties concern it, in virtual time. */
final class DutyProcess {
  static final long RETRY_WINDOW_MILLIS = 10_000;

  private static final InetSocketAddress PEERS = new InetSocketAddress("127.0.0.1", 1);

  final ProcessLifecycle life = new ProcessLifecycle();
  final TimerService time;
  final UsageCounts usage;
  final PeerReports peers;
  final Members members;
  final DutyLoop loop;

  /**
   * The world that processes run in.
   *
   * @param scaled name of a service whose waiting requests are told, if the configuration scales it
   */
  record World(
      ManualTimer timer,
      InMemoryStore store,
      long windowMillis,
      long settleMillis,
      Optional<FleetConfig> config,
      FleetView fleet,
      String scaled) {
    /** Returns a world without upstreams. */
    static World of(ManualTimer timer, InMemoryStore store, long windowMillis, long settleMillis) {
      return new World(
          timer, store, windowMillis, settleMillis, Optional.empty(), FleetView.empty(), "");
    }
  }

  /** Makes the calls of one process to the platform. */
  interface Caller {
    DutyClient of(ProcessLifecycle life);
  }

  private DutyProcess(World world, String name, String boot, Caller caller, IntSupplier waiting) {
    time = life.timer(world.timer());
    usage = UsageCounts.of(world.windowMillis(), world.timer()::wallMillis);
    peers = PeerReports.of(time);
    members = Members.of(RETRY_WINDOW_MILLIS, time);
    DutyClient calls = caller.of(life);
    Demand demand =
        new Demand(
            world::fleet,
            UpstreamStates.empty(),
            peers,
            () -> Map.of(world.scaled(), waiting.getAsInt()));
    ScalingDuty scaling =
        ScalingDuty.of(name, world::config, world::fleet, demand, calls, time, EventLog.silent());
    loop =
        DutyLoop.of(
            new DutyLoop.Identity(name, boot, PEERS, world.settleMillis()),
            world.store().clientOf(life),
            calls,
            usage,
            scaling,
            members,
            SharedSuspects.none(),
            peers,
            FleetClock.of(time),
            time,
            EventLog.silent());
  }

  /** Starts a process. */
  static DutyProcess start(
      World world, String name, String boot, Caller caller, IntSupplier waiting) {
    DutyProcess process = new DutyProcess(world, name, boot, caller, waiting);
    process.loop.start();
    return process;
  }
}
