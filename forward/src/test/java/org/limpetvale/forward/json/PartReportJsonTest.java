package org.limpetvale.forward.json;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.limpetvale.core.crash.PartCrash;
import org.limpetvale.core.crash.PartReport;

final class PartReportJsonTest {
  private static Map<String, PartReport> afterTransfer(Map<String, PartReport> reports)
      throws UnusableJsonException {
    ObjectNode object = JsonMapper.builder().build().createObjectNode();
    PartReportJson.put(object, "parts", reports);
    return PartReportJson.read(JsonFields.parseObject(object.toString()), "parts");
  }

  /** An entry that had just started sent reports that no other could read. */
  @ParameterizedTest
  @ValueSource(
      longs = {
        PartReport.UNKNOWN,
        PartReport.NEVER_SERVED,
        PartReport.SERVED_BEFORE,
        1,
        1_000_000_000_000L
      })
  void aReportIsReadAsItWasWritten(long served) throws UnusableJsonException {
    List<PartCrash> crashes =
        List.of(new PartCrash("5ccb8d3", "9a9ca99f", 3, true), new PartCrash("0", "r", 0, false));
    Map<String, PartReport> reports =
        Map.of(
            "a1",
            new PartReport(2, served, crashes),
            "odd \"id\"",
            new PartReport(0, served, List.of()));
    assertThat(afterTransfer(reports)).isEqualTo(reports);
  }

  @Test
  void noReportsAreNoField() throws UnusableJsonException {
    assertThat(afterTransfer(Map.of())).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"parts\":[]}",
        "{\"parts\":{\"a\":7}}",
        "{\"parts\":{\"a\":[-1,0]}}",
        "{\"parts\":{\"a\":[0,-3]}}",
        "{\"parts\":{\"a\":[0,0,7]}}",
        "{\"parts\":{\"a\":[0,0,\"p.r\"]}}",
        "{\"parts\":{\"a\":[0,0,\"p.r.9999999\"]}}",
        "{\"parts\":{\"a\":[0,0,\"p.r.-1\"]}}"
      })
  void anOddReportIsUnusable(String text) {
    assertThatThrownBy(() -> PartReportJson.read(JsonFields.parseObject(text), "parts"))
        .isInstanceOf(UnusableJsonException.class);
  }
}
