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

/** An operating-system process started by the fleet. */
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
   * @param command command line
   * @param log file that standard output and standard error are appended to
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

  /** Returns the process ID. */
  public long pid() {
    return process.pid();
  }

  /** Returns whether the process is running. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the CPU time used by the process, in milliseconds. */
  public long cpuMillis() {
    return process.toHandle().info().totalCpuDuration().orElse(Duration.ZERO).toMillis();
  }

  /** Returns the output of the process so far, or an empty string if it cannot be read. */
  public String output() {
    try {
      return Files.readString(log, StandardCharsets.UTF_8);
    } catch (IOException e) {
      return "";
    }
  }

  /** Kills the process forcibly and waits for it to exit. */
  public void kill() {
    process.destroyForcibly();
    awaitExit(Duration.ofSeconds(KILL_WAIT_SECONDS));
  }

  /** Requests a graceful stop with SIGTERM. */
  public void terminate() {
    process.destroy();
  }

  /** Suspends the process with SIGSTOP. */
  public void pause() {
    signal("STOP");
  }

  /** Resumes a suspended process with SIGCONT. */
  public void resume() {
    signal("CONT");
  }

  /** Waits for the process to exit; returns false on timeout or interruption. */
  public boolean awaitExit(Duration timeout) {
    try {
      return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Returns the exit code of a process that has exited. */
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
