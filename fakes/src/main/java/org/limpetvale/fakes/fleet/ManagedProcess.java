package org.limpetvale.fakes.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/** A process that the fleet has started. */
public final class ManagedProcess implements AutoCloseable {
  private static final long KILL_WAIT_SECONDS = 10;

  private final String name;
  private final Process process;
  private final Path log;

  private ManagedProcess(String name, Process process, Path log) {
    this.name = name;
    this.process = process;
    this.log = log;
  }

  /**
   * Starts a process.
   *
   * @param name name of the process
   * @param command its command line
   * @param log file for all that it prints
   */
  public static ManagedProcess start(String name, List<String> command, Path log) {
    Objects.requireNonNull(name, "name is null");
    try {
      Process process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
              .start();
      return new ManagedProcess(name, process, log);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot start " + name, e);
    }
  }

  /** Returns the name. */
  public String name() {
    return name;
  }

  /** Returns the process number. */
  public long pid() {
    return process.pid();
  }

  /** Tells whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the processor time that the process has used, in milliseconds. */
  public long cpuMillis() {
    return process.toHandle().info().totalCpuDuration().orElse(Duration.ZERO).toMillis();
  }

  /** Returns all that the process has printed. */
  public String output() {
    try {
      return Files.readString(log, StandardCharsets.UTF_8);
    } catch (IOException e) {
      return "";
    }
  }

  /** Kills the process at once. */
  public void kill() {
    process.destroyForcibly();
    awaitExit(Duration.ofSeconds(KILL_WAIT_SECONDS));
  }

  /** Asks the process to stop, by SIGTERM. */
  public void terminate() {
    process.destroy();
  }

  /** Freezes the process, by SIGSTOP. */
  public void pause() {
    signal("STOP");
  }

  /** Lets a frozen process go on, by SIGCONT. */
  public void resume() {
    signal("CONT");
  }

  /** Waits for the end of the process; returns whether it has ended. */
  public boolean awaitExit(Duration limit) {
    try {
      return process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Returns the exit code of an ended process. */
  public int exitCode() {
    return process.exitValue();
  }

  @Override
  public void close() {
    if (process.isAlive()) {
      kill();
    }
  }

  private void signal(String signal) {
    try {
      int code = new ProcessBuilder("kill", "-" + signal, String.valueOf(pid())).start().waitFor();
      if (code != 0) {
        throw new IllegalStateException("kill -" + signal + " of " + name + " failed");
      }
    } catch (IOException e) {
      throw new UncheckedIOException("cannot send " + signal, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
