package org.limpetvale.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.limpetvale.entry.EntryApplication;
import org.limpetvale.sidecar.SidecarApplication;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Commands that run a daemon. */
final class DaemonCommands {
  /** Result of a daemon command: the process keeps running on the threads of the daemon. */
  static final int RUNNING = -1;

  private DaemonCommands() {}

  /** Runs an entry. */
  @Command(
      name = "entry",
      description = "Runs an entry until SIGTERM.",
      mixinStandardHelpOptions = true,
      footer = "Example: limpetvale entry docs/examples/entry.json")
  static final class EntryCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SETTINGS", description = "Settings file, in JSON.")
    private Path settings;

    @Override
    public Integer call() throws Exception {
      new EntryApplication().run("server", settings.toString());
      return RUNNING;
    }
  }

  /** Runs a sidecar. */
  @Command(
      name = "sidecar",
      description = "Runs the sidecar of an upstream until SIGTERM.",
      mixinStandardHelpOptions = true,
      footer = "Example: limpetvale sidecar docs/examples/sidecar.json")
  static final class SidecarCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SETTINGS", description = "Settings file, in JSON.")
    private Path settings;

    @Override
    public Integer call() throws Exception {
      new SidecarApplication().run("server", settings.toString());
      return RUNNING;
    }
  }
}
