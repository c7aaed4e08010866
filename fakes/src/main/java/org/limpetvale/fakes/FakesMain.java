package org.limpetvale.fakes;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The program of the stand-ins. */
@Command(
    name = "limpetvale-fakes",
    description = "Stand-ins for the platform and the upstreams.",
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

  /** Runs the program. */
  public static void main(String[] args) {
    // Without this the server delays small writes of a stream.
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.exit(new CommandLine(new FakesMain()).execute(args));
  }
}
