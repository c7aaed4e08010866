package org.limpetvale.forward.accept;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

final class CallerCapacityTest {
  private static final long MEGABYTE = 1024 * 1024;

  private static CallerCapacity of(int memoryMegabytes, int maxDescriptors) {
    return CallerCapacity.of(OptionalInt.of(memoryMegabytes), OptionalInt.of(maxDescriptors));
  }

  @Test
  void memoryFollowsFromTheVmAndIsBoundedByTheHeap() {
    assertThat(of(64, 4_100).memoryBytes()).isEqualTo(8 * MEGABYTE);
    assertThat(of(Integer.MAX_VALUE, 4_100).memoryBytes())
        .isEqualTo(Runtime.getRuntime().maxMemory() / 4);
  }

  @Test
  void eachConnectionOfACallerLeavesADescriptorForAnUpstream() {
    assertThat(of(258, 4_100).maxConnections()).isEqualTo(1_950);
    assertThat(of(258, 300).maxConnections()).isEqualTo(75);
  }

  @Test
  void withoutSettingsTheLimitsOfTheJvmApply() {
    CallerCapacity capacity = CallerCapacity.of(OptionalInt.empty(), OptionalInt.empty());
    assertThat(capacity.memoryBytes()).isEqualTo(Runtime.getRuntime().maxMemory() / 4);
    assertThat(capacity.maxConnections()).isPositive();
  }
}
