package org.limpetvale.core.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The complete configuration at one version.
 *
 * @param version the version; 0 before the first change
 * @param templates templates by name
 * @param workspaces workspace parameters by workspace name
 * @param keys key grants by key digest
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

  /** Returns the empty configuration at version 0. */
  public static ConfigState empty() {
    return new ConfigState(0, Map.of(), Map.of(), Map.of());
  }

  /**
   * Returns the state after the given changes. Changes that this state already contains are
   * skipped.
   *
   * @param records changes in ascending order of version
   * @return the new state; if versions are missing, the state before the first gap
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

  /** Returns the grant of the key with the given digest. */
  public Optional<KeyGrant> grant(String digest) {
    return Optional.ofNullable(keys.get(digest));
  }

  /** Returns the parameters of a workspace. */
  public Optional<WorkspaceParameters> workspace(String name) {
    return Optional.ofNullable(workspaces.get(name));
  }

  /** Returns a request class with the workspace's overrides, if the workspace may use the class. */
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

  /**
   * Returns the first route of a plain service that matches a call, if the workspace may use the
   * service.
   */
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

  /** Returns the workspace that opens the matching route to callers without a key. */
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
