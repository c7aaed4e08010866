package org.limpetvale.fakes;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Command-line entry point of the fakes. */
@Command(
    name = "limpetvale-fakes",
    description = "Fakes of the platform and the upstreams.",
    mixinStandardHelpOptions = true,
    subcommands = {
      PlatformCommand.class,
      EngineCommand.class,
      ServiceCommand.class,
      DemoCommand.class,
      MeasurePathCommand.class,
      MeasurePolicyCommand.class,
      MeasureScalingCommand.class
    })
public final class FakesMain {
  private FakesMain() {}

  /** Runs the command given by the arguments and exits. */
  public static void main(String[] args) {
    // Sets TCP_NODELAY; otherwise the server delays a stream's small writes.
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.exit(new CommandLine(new FakesMain()).execute(args));
  }
}
