package org.limpetvale.core.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The whole configuration at one version.
 *
 * @param version the version; 0 before the first change
 * @param templates templates by name
 * @param workspaces parameters by workspace
 * @param keys grants by the digest of the key
 */
public record ConfigState(
    long version,
    Map<String, Template> templates,
    Map<String, WorkspaceParameters> workspaces,
    Map<String, KeyGrant> keys) {
  public ConfigState {
    templates = Map.copyOf(Objects.requireNonNull(templates, "templates is null"));
    workspaces = Map.copyOf(Objects.requireNonNull(workspaces, "workspaces is null"));
    keys = Map.copyOf(Objects.requireNonNull(keys, "keys is null"));
  }

  // -- static factories

  /** Returns the configuration before the first change. */
  public static ConfigState empty() {
    return new ConfigState(0, Map.of(), Map.of(), Map.of());
  }

  // -- changes

  /**
   * Returns the state after a run of changes; those that this state has already are passed over.
   *
   * @param records changes in order, without gaps
   * @return the new state; this state up to the first gap when there is one
   */
  public ConfigState applyAll(Collection<ChangeRecord> records) {
    Map<String, Template> newTemplates = new HashMap<>(templates);
    Map<String, WorkspaceParameters> newWorkspaces = new HashMap<>(workspaces);
    Map<String, KeyGrant> newKeys = new HashMap<>(keys);
    long newVersion = version;
    for (ChangeRecord record : records) {
      if (record.version() != newVersion + 1) {
        continue;
      }
      switch (record.change()) {
        case ConfigChange.PutTemplate(Template template) ->
            newTemplates.put(template.name(), template);
        case ConfigChange.PutParameters(WorkspaceParameters parameters) ->
            newWorkspaces.put(parameters.workspace(), parameters);
        case ConfigChange.GrantKey(KeyGrant grant) -> newKeys.put(grant.digest(), grant);
        case ConfigChange.WithdrawKey(String keyId) ->
            newKeys.values().removeIf(grant -> grant.keyId().equals(keyId));
      }
      newVersion = record.version();
    }
    return newVersion == version
        ? this
        : new ConfigState(newVersion, newTemplates, newWorkspaces, newKeys);
  }

  // -- queries

  /** Finds the grant for a key's digest. */
  public Optional<KeyGrant> grant(String digest) {
    return Optional.ofNullable(keys.get(digest));
  }

  /** Finds the parameters of a workspace. */
  public Optional<WorkspaceParameters> workspace(String name) {
    return Optional.ofNullable(workspaces.get(name));
  }

  /** Finds the service level that a workspace has for a class it may send. */
  public Optional<RequestClass> requestClass(WorkspaceParameters parameters, String className) {
    if (!parameters.classes().contains(className)) {
      return Optional.empty();
    }
    return Optional.ofNullable(templates.get(parameters.template()))
        .map(template -> template.classes().get(className))
        .map(
            base ->
                Optional.ofNullable(parameters.overrides().get(className))
                    .map(override -> override.applyTo(base))
                    .orElse(base));
  }

  /** Finds the route of a plain service that a workspace's call takes. */
  public Optional<ServiceRoute> serviceRoute(
      WorkspaceParameters parameters, String service, String method, String path) {
    if (!parameters.services().contains(service)) {
      return Optional.empty();
    }
    return Optional.ofNullable(templates.get(parameters.template()))
        .map(template -> template.services().getOrDefault(service, List.of()))
        .flatMap(
            routes -> routes.stream().filter(route -> route.matches(method, path)).findFirst());
  }

  /** Finds the workspace that opens a route to all. */
  public Optional<WorkspaceParameters> workspaceWithOpenRoute(
      String service, String method, String path) {
    return workspaces.values().stream()
        .filter(
            parameters ->
                parameters.openRoutes().stream()
                    .anyMatch(
                        route ->
                            route.service().equals(service)
                                && route.method().equals(method)
                                && path.startsWith(route.pathPrefix())))
        .findFirst();
  }
}
