package org.limpetvale.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.limpetvale.core.config.Fault;

final class SettingsReaderTest {
  private static final String VALID =
      """
      {"name": "edge-1", "zone": "z",
       "listen": {"callers": "10.0.0.1:80", "ready": "10.0.0.1:81",
                  "metrics": "10.0.0.1:82", "peers": "10.0.0.1:83"},
       "store": {"address": "10.0.0.2:80"}, "duties": {"address": "10.0.0.3:80"},
       "bounds": {"revokeMillis": 5000, "graceMillis": 8000, "leaseMillis": 3000,
                  "usageWindowMillis": 5000, "retryRatio": 0.2, "retryAllowance": 52,
                  "retryWindowMillis": 10000}}
      """;

  @Test
  void validSettingsAreRead() {
    assertThat(SettingsReader.read(VALID))
        .isInstanceOfSatisfying(
            SettingsReader.Outcome.Valid.class,
            valid -> {
              assertThat(valid.settings().callers().getPort()).isEqualTo(80);
              assertThat(valid.settings().bounds().retries().allowance()).isEqualTo(52);
            });
  }

  @Test
  void theMachineIsOptionalAndBoundsWhatCallersMayTake() {
    String small =
        VALID.replace("\"bounds\"", "\"machine\": {\"memoryMegabytes\": 64}, \"bounds\"");
    assertThat(SettingsReader.read(small))
        .isInstanceOfSatisfying(
            SettingsReader.Outcome.Valid.class,
            valid ->
                assertThat(valid.settings().callerCapacity().memoryBytes())
                    .isEqualTo(8 * 1024 * 1024));
    assertThat(SettingsReader.read(small.replace("64", "0")))
        .isInstanceOf(SettingsReader.Outcome.Invalid.class);
  }

  @Test
  void promptMemoryIsWeighedOnlyWhereTheSettingsSaySo() {
    String weighed =
        VALID.replace("\"bounds\"", "\"placement\": {\"weighsPromptMemory\": true}, \"bounds\"");
    assertThat(weighsPromptMemory(VALID)).isFalse();
    assertThat(weighsPromptMemory(weighed)).isTrue();
    assertThat(SettingsReader.read(weighed.replace("true", "1")))
        .isInstanceOf(SettingsReader.Outcome.Invalid.class);
  }

  @Test
  void eachWayOfPlacementIsSwitchedOnByItsOwnSetting() {
    assertThat(placement("usesStatedSpeeds"))
        .isEqualTo(new ForwardSettings.Placement(false, true, false));
    assertThat(placement("separatesShortGapsAtStart"))
        .isEqualTo(new ForwardSettings.Placement(false, false, true));
  }

  private static ForwardSettings.Placement placement(String flag) {
    String json =
        VALID.replace("\"bounds\"", "\"placement\": {\"" + flag + "\": true}, \"bounds\"");
    return ((SettingsReader.Outcome.Valid) SettingsReader.read(json)).settings().placement();
  }

  private static boolean weighsPromptMemory(String json) {
    return SettingsReader.read(json) instanceof SettingsReader.Outcome.Valid(var settings)
        && settings.placement().weighsPromptMemory();
  }

  @Test
  void allFaultsAreReportedAtOnce() {
    String faulty =
        VALID
            .replace("10.0.0.1:81", "10.0.0.1")
            .replace("\"revokeMillis\": 5000", "\"revokeMillis\": -1")
            .replace("\"zone\": \"z\"", "\"zoen\": \"z\"");
    assertThat(SettingsReader.read(faulty))
        .isInstanceOfSatisfying(
            SettingsReader.Outcome.Invalid.class,
            invalid ->
                assertThat(invalid.faults())
                    .extracting(Fault::field)
                    .containsExactlyInAnyOrder(
                        "zoen", "zone", "listen.ready", "bounds.revokeMillis"));
  }

  @Test
  void invalidJsonIsAFault() {
    assertThat(SettingsReader.read("{")).isInstanceOf(SettingsReader.Outcome.Invalid.class);
    assertThat(SettingsReader.read("")).isInstanceOf(SettingsReader.Outcome.Invalid.class);
  }
}
