package org.limpetvale.core.result;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

final class ResultCodeTest {
  @Test
  void everyNumberIsUsedOnce() {
    assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number)).doesNotHaveDuplicates();
  }

  @Test
  void theDocumentedTableMatchesEveryCode() throws IOException {
    String table =
        Arrays.stream(ResultCode.values())
            .map(
                code ->
                    String.format(
                        Locale.ROOT,
                        "| %s | %d | `%s` | %s | %s |",
                        code.label(),
                        code.httpStatus(),
                        code.name().toLowerCase(Locale.ROOT),
                        code.executionStatus().text(),
                        code.description()))
            .collect(Collectors.joining("\n"));
    assertThat(Files.readString(Path.of("..", "docs", "RESULT-CODES.md"))).contains(table);
  }
}
