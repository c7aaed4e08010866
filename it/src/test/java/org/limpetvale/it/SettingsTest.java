package org.limpetvale.it;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.limpetvale.fakes.fleet.Fleet;
import org.limpetvale.fakes.fleet.ManagedProcess;

/** A daemon with invalid settings exits before it starts to listen. */
final class SettingsTest {
  @TempDir private Path folder;

  @Test
  void anUnknownFieldStopsTheDaemonAndIsNamed() throws Exception {
    assertThat(outputWithFault("\"timeoutMillis\"", "\"timeoutMilis\"")).contains("timeoutMilis");
  }

  @Test
  void aBlankValueStopsTheDaemonAndIsNamed() throws Exception {
    assertThat(outputWithFault("\"south-1\"", "\"\"")).contains("identity.zone must not be blank");
  }

  /** Runs an entry with an invalid setting; returns its output after it has exited. */
  private String outputWithFault(String valid, String invalid) throws Exception {
    Path root = Fleet.findProjectRoot();
    String settings = Files.readString(root.resolve("docs/examples/entry.json"));
    Path file = folder.resolve("entry.json");
    Files.writeString(file, settings.replace(valid, invalid));
    Path target = root.resolve("cli/target");
    List<String> command =
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            target.resolve("classes") + ":" + target.resolve("lib") + "/*",
            "org.limpetvale.cli.Main",
            "entry",
            file.toString());
    try (ManagedProcess process = ManagedProcess.start("entry", command, folder.resolve("log"))) {
      assertThat(process.awaitExit(Duration.ofSeconds(30))).isTrue();
      assertThat(process.exitCode()).isNotZero();
      assertThat(process.output()).doesNotContain("listening vm=");
      return process.output();
    }
  }
}
