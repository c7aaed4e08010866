package org.limpetvale.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Main class of the {@code limpetvale} program. */
@Command(
    name = "limpetvale",
    version = "limpetvale 0.1.0",
    description = "A router for language-model traffic with service levels and priorities.",
    mixinStandardHelpOptions = true,
    subcommands = {
      DaemonCommands.EntryCommand.class,
      DaemonCommands.SidecarCommand.class,
      ConfigCommands.TemplateCommand.class,
      ConfigCommands.ParametersCommand.class,
      ConfigCommands.HistoryCommand.class,
      KeyCommand.class,
      StateCommands.StatusCommand.class,
      StateCommands.UpstreamCommand.class,
      StateCommands.ExplainCommand.class,
      LoadCommand.class
    })
public final class Main {
  private Main() {}

  /** Runs the program; docs/OPERATORS.md lists the exit codes. */
  public static void main(String[] args) {
    int code = new CommandLine(new Main()).execute(args);
    if (code != DaemonCommands.RUNNING) {
      System.exit(code);
    }
  }
}
