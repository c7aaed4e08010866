package org.limpetvale.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class AllowedRegionsTest {
  private static final AllowedRegions NORTH = AllowedRegions.of(Set.of("north"));

  @Test
  void withoutARestrictionAllRegionsAreAllowedAlsoUnknownOnes() {
    assertThat(AllowedRegions.of(Set.of()).admits(Optional.empty())).isTrue();
    assertThat(NORTH.admits(Optional.empty())).isFalse();
    assertThat(NORTH.admits(Optional.of("north"))).isTrue();
    assertThat(NORTH.admits(Optional.of("south"))).isFalse();
  }

  @Test
  void bothRestrictionsBind() {
    AllowedRegions both = AllowedRegions.of(Set.of("north", "south"));
    assertThat(both.and(NORTH)).isEqualTo(NORTH);
    assertThat(AllowedRegions.ALL.and(NORTH)).isEqualTo(NORTH);
    assertThat(NORTH.and(AllowedRegions.ALL)).isEqualTo(NORTH);
    AllowedRegions none = NORTH.and(AllowedRegions.of(Set.of("south")));
    assertThat(none.isNone()).isTrue();
    assertThat(none.admits(Optional.of("north"))).isFalse();
    assertThat(NORTH.isNone()).isFalse();
  }
}
