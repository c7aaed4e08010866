package org.limpetvale.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/** Validates a change against the current configuration and reports all faults at once. */
public final class ConfigValidator {
  private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
  private static final String NAME_RULE = "1 to 63 of a-z 0-9 . _ -, first a letter or digit";
  private static final Set<String> METHODS = Set.of("GET", "POST", "PUT", "DELETE", "PATCH");
  private static final double MAX_TOTAL_FLOOR_SHARE = 0.5;
  private static final long MAX_TARGET_MILLIS = 600_000;
  private static final int MAX_TOKENS = 131_072;
  private static final double MAX_WEIGHT = 1000;

  private ConfigValidator() {}

  /**
   * Validates a change.
   *
   * @param state the configuration before the change
   * @param change the change
   * @return all faults; empty if the change is valid
   */
  public static List<Fault> validate(ConfigState state, ConfigChange change) {
    List<Fault> faults = new ArrayList<>();
    switch (change) {
      case ConfigChange.PutTemplate(Template template) -> checkTemplate(state, template, faults);
      case ConfigChange.PutParameters(WorkspaceParameters parameters) ->
          checkParameters(state, parameters, faults);
      case ConfigChange.GrantKey(KeyGrant grant) -> checkGrant(state, grant, faults);
      case ConfigChange.WithdrawKey(String keyId) -> checkName("keyId", keyId, faults);
    }
    return List.copyOf(faults);
  }

  private static void checkTemplate(ConfigState state, Template template, List<Fault> faults) {
    checkName("name", template.name(), faults);
    if (template.classes().isEmpty()) {
      faults.add(new Fault("classes", "{}", "at least one class"));
    }
    template
        .classes()
        .forEach((name, requestClass) -> checkClass("classes." + name, name, requestClass, faults));
    double totalFloorShare =
        template.classes().values().stream().mapToDouble(RequestClass::floorShare).sum();
    if (totalFloorShare > MAX_TOTAL_FLOOR_SHARE) {
      faults.add(
          new Fault(
              "classes.*.floorShare",
              String.valueOf(totalFloorShare),
              "a sum up to " + MAX_TOTAL_FLOOR_SHARE));
    }
    template.models().forEach(model -> checkName("models", model, faults));
    template
        .services()
        .forEach(
            (service, routes) -> {
              checkName("services", service, faults);
              routes.forEach(route -> checkRoute("services." + service, route, faults));
            });
    checkWorkspacesUsingTemplate(state, template, faults);
  }

  private static void checkClass(
      String path, String name, RequestClass requestClass, List<Fault> faults) {
    checkName(path, name, faults);
    checkRange(path + ".tier", requestClass.tier(), 0, RequestClass.TIERS - 1, faults);
    checkRange(
        path + ".firstTokenTargetMillis",
        requestClass.firstTokenTargetMillis(),
        1,
        MAX_TARGET_MILLIS,
        faults);
    checkRange(
        path + ".tokenGapTargetMillis",
        requestClass.tokenGapTargetMillis(),
        1,
        MAX_TARGET_MILLIS,
        faults);
    checkRange(path + ".maxWaitMillis", requestClass.maxWaitMillis(), 1, MAX_TARGET_MILLIS, faults);
    checkRange(path + ".maxTokens", requestClass.maxTokens(), 1, MAX_TOKENS, faults);
    if (!(requestClass.floorShare() >= 0 && requestClass.floorShare() <= MAX_TOTAL_FLOOR_SHARE)) {
      faults.add(
          new Fault(
              path + ".floorShare",
              String.valueOf(requestClass.floorShare()),
              "0 to " + MAX_TOTAL_FLOOR_SHARE));
    }
  }

  private static void checkRoute(String path, ServiceRoute route, List<Fault> faults) {
    if (!METHODS.contains(route.method())) {
      faults.add(new Fault(path + ".method", route.method(), String.join(", ", METHODS)));
    }
    if (!route.pathPrefix().startsWith("/")) {
      faults.add(new Fault(path + ".pathPrefix", route.pathPrefix(), "a path that starts with /"));
    }
    if (route.mayBeOpen() && !route.repeatable()) {
      faults.add(
          new Fault(path + ".mayBeOpen", "true", "false on a route that may not be repeated"));
    }
  }

  private static void checkWorkspacesUsingTemplate(
      ConfigState state, Template template, List<Fault> faults) {
    for (WorkspaceParameters parameters : state.workspaces().values()) {
      if (!parameters.template().equals(template.name())) {
        continue;
      }
      for (String className : parameters.classes()) {
        if (!template.classes().containsKey(className)) {
          faults.add(
              new Fault(
                  "classes",
                  "without " + className,
                  "keeping it: workspace " + parameters.workspace() + " uses it"));
        }
      }
    }
  }

  private static void checkParameters(
      ConfigState state, WorkspaceParameters parameters, List<Fault> faults) {
    checkName("workspace", parameters.workspace(), faults);
    Optional<Template> found = Optional.ofNullable(state.templates().get(parameters.template()));
    if (found.isEmpty()) {
      faults.add(
          new Fault("template", parameters.template(), joinNames(state.templates().keySet())));
      return;
    }
    Template template = found.get();
    checkAllowed("classes", parameters.classes(), template.classes().keySet(), faults);
    checkAllowed("models", parameters.models(), template.models(), faults);
    checkAllowed("services", parameters.services(), template.services().keySet(), faults);
    if (parameters.defaultClass() == null
        || !parameters.classes().contains(parameters.defaultClass())) {
      faults.add(
          new Fault(
              "defaultClass",
              String.valueOf(parameters.defaultClass()),
              joinNames(parameters.classes())));
    }
    if (!(parameters.weight() > 0 && parameters.weight() <= MAX_WEIGHT)) {
      faults.add(
          new Fault("weight", String.valueOf(parameters.weight()), "above 0, up to " + MAX_WEIGHT));
    }
    if (parameters.budgetTokensPerMinute() < 1) {
      faults.add(
          new Fault(
              "budgetTokensPerMinute",
              String.valueOf(parameters.budgetTokensPerMinute()),
              "1 or more"));
    }
    parameters
        .overrides()
        .forEach((name, override) -> checkOverride(parameters, template, name, override, faults));
    parameters
        .openRoutes()
        .forEach(route -> checkOpenRoute(state, parameters, template, route, faults));
  }

  private static void checkOverride(
      WorkspaceParameters parameters,
      Template template,
      String name,
      ClassOverride override,
      List<Fault> faults) {
    String path = "overrides." + name;
    RequestClass base = template.classes().get(name);
    if (base == null || !parameters.classes().contains(name)) {
      faults.add(new Fault(path, name, joinNames(parameters.classes())));
      return;
    }
    override
        .tier()
        .ifPresent(
            tier -> checkRange(path + ".tier", tier, base.tier(), RequestClass.TIERS - 1, faults));
    override
        .maxTokens()
        .ifPresent(max -> checkRange(path + ".maxTokens", max, 1, base.maxTokens(), faults));
    override
        .firstTokenTargetMillis()
        .ifPresent(
            target ->
                checkRange(
                    path + ".firstTokenTargetMillis",
                    target,
                    base.firstTokenTargetMillis(),
                    MAX_TARGET_MILLIS,
                    faults));
  }

  private static void checkOpenRoute(
      ConfigState state,
      WorkspaceParameters parameters,
      Template template,
      OpenRoute open,
      List<Fault> faults) {
    String path = "openRoutes." + open.service() + " " + open.method() + " " + open.pathPrefix();
    boolean mayBeOpened =
        parameters.services().contains(open.service())
            && template.services().getOrDefault(open.service(), List.of()).stream()
                .filter(route -> route.matches(open.method(), open.pathPrefix()))
                .findFirst()
                .map(ServiceRoute::mayBeOpen)
                .orElse(false);
    if (!mayBeOpened) {
      faults.add(new Fault(path, "open", "routes of the workspace's services with mayBeOpen"));
    }
    for (Map.Entry<String, WorkspaceParameters> other : state.workspaces().entrySet()) {
      boolean overlaps =
          !other.getKey().equals(parameters.workspace())
              && other.getValue().openRoutes().stream().anyMatch(route -> overlap(route, open));
      if (overlaps) {
        faults.add(
            new Fault(path, "open", "a route that workspace " + other.getKey() + " does not open"));
      }
    }
  }

  private static boolean overlap(OpenRoute a, OpenRoute b) {
    return a.service().equals(b.service())
        && a.method().equals(b.method())
        && (a.pathPrefix().startsWith(b.pathPrefix()) || b.pathPrefix().startsWith(a.pathPrefix()));
  }

  private static void checkGrant(ConfigState state, KeyGrant grant, List<Fault> faults) {
    checkName("keyId", grant.keyId(), faults);
    if (!state.workspaces().containsKey(grant.workspace())) {
      faults.add(new Fault("workspace", grant.workspace(), joinNames(state.workspaces().keySet())));
    }
    if (state.keys().values().stream().anyMatch(other -> other.keyId().equals(grant.keyId()))) {
      faults.add(new Fault("keyId", grant.keyId(), "a name that no granted key has"));
    }
  }

  private static void checkName(String field, String name, List<Fault> faults) {
    if (name == null || !NAME_PATTERN.matcher(name).matches()) {
      faults.add(new Fault(field, String.valueOf(name), NAME_RULE));
    }
  }

  private static void checkRange(String field, long value, long min, long max, List<Fault> faults) {
    if (value < min || value > max) {
      faults.add(new Fault(field, String.valueOf(value), min + " to " + max));
    }
  }

  private static void checkAllowed(
      String field, List<String> names, Collection<String> allowed, List<Fault> faults) {
    names.stream()
        .filter(name -> !allowed.contains(name))
        .forEach(name -> faults.add(new Fault(field, name, joinNames(allowed))));
  }

  private static String joinNames(Collection<String> names) {
    return names.isEmpty()
        ? "none is defined"
        : String.join(", ", names.stream().sorted().limit(20).toList());
  }
}
