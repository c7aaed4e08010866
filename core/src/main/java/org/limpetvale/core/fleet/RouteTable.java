package org.limpetvale.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** An immutable routing table that matches requests by host and longest path prefix. */
public final class RouteTable {
  private static final RouteTable EMPTY = new RouteTable(Map.of(), Map.of());

  private final Map<String, List<Route>> byHost;
  private final Map<String, Set<Long>> gapTargetsMillisByService;

  private RouteTable(
      Map<String, List<Route>> byHost, Map<String, Set<Long>> gapTargetsMillisByService) {
    this.byHost = byHost;
    this.gapTargetsMillisByService = gapTargetsMillisByService;
  }

  /** Returns a table without routes. */
  public static RouteTable empty() {
    return EMPTY;
  }

  /** Returns a table of the given routes. */
  public static RouteTable of(Collection<Route> routes) {
    Map<String, List<Route>> byHost = new HashMap<>();
    for (Route route : routes) {
      byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();
    byHost.values().forEach(list -> list.sort(longestFirst));
    return new RouteTable(Map.copyOf(byHost), gapTargets(routes));
  }

  private static Map<String, Set<Long>> gapTargets(Collection<Route> routes) {
    Map<String, Set<Long>> byService = new HashMap<>();
    for (Route route : routes) {
      if (route.targetGapMillis() > 0) {
        for (Route.Split split : route.splits()) {
          byService
              .computeIfAbsent(split.service(), name -> new HashSet<>())
              .add(route.targetGapMillis());
        }
      }
    }
    byService.replaceAll((service, targets) -> Set.copyOf(targets));
    return Map.copyOf(byService);
  }

  /** Returns the gap targets of the routes to a service, without those that have none. */
  public Set<Long> gapTargetsMillis(String service) {
    return gapTargetsMillisByService.getOrDefault(service, Set.of());
  }

  /**
   * Returns the route that matches a request.
   *
   * @param hostHeader value of the Host header; its port is ignored
   * @param path path without the query string
   */
  public Optional<Route> find(String hostHeader, String path) {
    List<Route> routes = byHost.getOrDefault(hostName(hostHeader), List.of());
    return routes.stream().filter(route -> path.startsWith(route.prefix())).findFirst();
  }

  /** Returns the number of routes. */
  public int size() {
    return byHost.values().stream().mapToInt(List::size).sum();
  }

  private static String hostName(String hostHeader) {
    int colon = hostHeader.lastIndexOf(':');
    String name = colon > 0 ? hostHeader.substring(0, colon) : hostHeader;
    return name.toLowerCase(Locale.ROOT);
  }
}
