package org.limpetvale.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class RouteTableTest {
  private static Route route(String name, String host, String prefix) {
    return new Route(
        name,
        host,
        prefix,
        Route.Kind.IDEMPOTENT,
        1000,
        100,
        0,
        1,
        List.of(new Route.Split("a", 90), new Route.Split("b", 10), new Route.Split("c", 0)),
        2,
        false,
        false);
  }

  private final RouteTable table =
      RouteTable.of(
          List.of(
              route("short", "h.example", "/a/"),
              route("long", "h.example", "/a/b/"),
              route("elsewhere", "other.example", "/a/b/c/")));

  @Test
  void theLongestMatchingPrefixOfTheHostWins() {
    assertThat(table.find("h.example", "/a/b/c/d").map(Route::name)).contains("long");
    assertThat(table.find("h.example", "/a/x").map(Route::name)).contains("short");
  }

  @Test
  void hostMatchingIgnoresPortAndCase() {
    assertThat(table.find("H.Example:8080", "/a/").map(Route::name)).contains("short");
  }

  @Test
  void unknownHostsAndPathsHaveNoRoute() {
    assertThat(table.find("nobody.example", "/a/")).isEmpty();
    assertThat(table.find("h.example", "/ab/")).isEmpty();
  }

  @Test
  void servicesAreChosenByWeight() {
    Route route = route("r", "h", "/");
    assertThat(route.chooseService(0)).isEqualTo("a");
    assertThat(route.chooseService(0.899)).isEqualTo("a");
    assertThat(route.chooseService(0.95)).isEqualTo("b");
    assertThat(route.chooseService(0.99999)).isEqualTo("b");
  }
}
