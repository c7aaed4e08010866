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

/** Faults in the settings end a daemon before it listens. */
final class SettingsTest {
  @TempDir private Path folder;

  @Test
  void anUnknownFieldEndsTheProgramAndIsNamed() throws Exception {
    assertThat(outputWithFault("\"timeoutMillis\"", "\"timeoutMilis\"")).contains("timeoutMilis");
  }

  @Test
  void aBlankValueEndsTheProgramAndIsNamed() throws Exception {
    assertThat(outputWithFault("\"south-1\"", "\"\"")).contains("identity.zone must not be blank");
  }

  /** Runs an entry with a fault in its settings; returns what it printed before it ended. */
  private String outputWithFault(String sound, String faulty) throws Exception {
    Path root = Fleet.findProjectRoot();
    String settings = Files.readString(root.resolve("docs/examples/entry.json"));
    Path file = folder.resolve("entry.json");
    Files.writeString(file, settings.replace(sound, faulty));
    Path target = root.resolve("cli/target");
    List<String> line =
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            target.resolve("classes") + ":" + target.resolve("lib") + "/*",
            "org.limpetvale.cli.Main",
            "entry",
            file.toString());
    try (ManagedProcess proc = ManagedProcess.start("entry", line, folder.resolve("log"))) {
      assertThat(proc.awaitExit(Duration.ofSeconds(30))).isTrue();
      assertThat(proc.exitCode()).isNotZero();
      assertThat(proc.output()).doesNotContain("listening vm=");
      return proc.output();
    }
  }
}
