package org.limpetvale.core.fleet;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The regions in which a request may be processed.
 *
 * @param names names of the regions; empty if all are allowed
 */
public record AllowedRegions(Optional<Set<String>> names) {
  /** All regions are allowed. */
  public static final AllowedRegions ALL = new AllowedRegions(Optional.empty());

  public AllowedRegions {
    names = Objects.requireNonNull(names, "names is null").map(Set::copyOf);
  }

  /** Returns the regions with the given names; without names, all. */
  public static AllowedRegions of(Set<String> names) {
    return names.isEmpty() ? ALL : new AllowedRegions(Optional.of(names));
  }

  /** Returns the regions that both this and another restriction allow. */
  public AllowedRegions and(AllowedRegions other) {
    if (names.isEmpty()) {
      return other;
    }
    if (other.names.isEmpty()) {
      return this;
    }
    Set<String> common = new HashSet<>(names.get());
    common.retainAll(other.names.get());
    return new AllowedRegions(Optional.of(common));
  }

  /** Returns whether no region is allowed. */
  public boolean isNone() {
    return names.filter(Set::isEmpty).isPresent();
  }

  /**
   * Returns whether a request may be processed in a region.
   *
   * @param region name of the region; empty if it is not known, which only {@link #ALL} allows
   */
  public boolean admits(Optional<String> region) {
    return names.isEmpty() || region.filter(names.get()::contains).isPresent();
  }
}
