package org.limpetvale.forward.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against an odd datagram that is taken for a report or raises an exception. */
final class OddPeerReportTest {
  private static final String GOOD =
      """
      {"w":"edge-2.b","n":7,"o":3,"c":9,"u":{"9":{"first":2}},"l":{"i-1":[1,2,0,5,100]},
       "p":{"i-1":["a"]},"q":{"desk":1},"x":{"d":["i-1"]},"e":{"desk":[400,200,300]},
       "m":{"i-1":[2.5,1000,17]},"v":{"i-1":17},"r":3,"s":1,"g":4}
      """;

  private static String with(String good, String odd) {
    assertThat(GOOD).contains(good);
    return GOOD.replace(good, odd);
  }

  private static Stream<String> texts() {
    return Stream.of(
        "",
        "null",
        "7",
        "[]",
        "{}",
        "not JSON",
        "\u0000\u0001",
        "[".repeat(900) + "]".repeat(900),
        "[".repeat(60_000),
        with("\"n\":7", "\"n\":1" + "0".repeat(30)),
        with("\"n\":7", "\"n\":1" + "0".repeat(3_000)),
        with("\"n\":7", "\"n\":1e400"),
        with("\"n\":7", "\"n\":NaN"),
        with("\"9\":{", "\"x\":{"),
        with("\"9\":{", "\"99999999999999999999\":{"));
  }

  private static Stream<String> numbers() {
    return Stream.of(
            "\"o\":3",
            "\"c\":9",
            "\"first\":2",
            "\"i-1\":[1,",
            "\"i-1\":[1,2,",
            "\"desk\":1",
            "\"desk\":[400,",
            "\"desk\":[400,200,",
            "\"i-1\":[2.5,1000,",
            "\"i-1\":17",
            "\"r\":3",
            "\"s\":1",
            "\"g\":4")
        .flatMap(OddPeerReportTest::withOddNumbers);
  }

  private static Stream<String> withOddNumbers(String field) {
    String rest = field.endsWith(",") ? "," : "";
    String before = field.replaceFirst("[0-9.]+,?$", "");
    return Stream.of("1e400", "1" + "0".repeat(30), "\"8\"", "[]", "9.5")
        .map(odd -> with(field, before + odd + rest));
  }

  private static Stream<String> limits() {
    return Stream.of("1e400", "\"8\"").map(odd -> with("[2.5,", "[" + odd + ","));
  }

  @ParameterizedTest
  @MethodSource({"texts", "numbers", "limits"})
  void anOddReportIsNotAccepted(String text) {
    assertThat(PeerReport.parse(text)).isEmpty();
  }

  @Test
  void aVersionOfTheConfigurationThatNoOperatorWritesIsNotAccepted() {
    assertThat(PeerReport.parse(with("\"g\":4", "\"g\":9223372036854775807"))).isEmpty();
    assertThat(PeerReport.parse(with("\"s\":1", "\"s\":9223372036854775807"))).isEmpty();
  }

  @Test
  void aReportIsAcceptedAndReadAsItWasWritten() {
    PeerReport report = PeerReport.parse(GOOD).orElseThrow();
    assertThat(report.configVersion()).isEqualTo(4);
    assertThat(PeerReport.parse(report.toJson())).contains(report);
  }
}
