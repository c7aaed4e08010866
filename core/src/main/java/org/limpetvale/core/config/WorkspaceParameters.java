package org.limpetvale.core.config;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The parameters of a workspace, which complete its template.
 *
 * @param workspace name of the workspace
 * @param template name of its template
 * @param classes request classes that the workspace may use
 * @param defaultClass request class of requests that do not specify one
 * @param overrides overrides of the template's values by request class
 * @param models models that the workspace may use
 * @param services plain services that the workspace may call
 * @param openRoutes routes open to callers without a key
 * @param weight weight in fair queueing among workspaces
 * @param budgetTokensPerMinute tokens per minute above which the workspace's requests yield to
 *     those of workspaces within budget
 */
public record WorkspaceParameters(
    String workspace,
    String template,
    List<String> classes,
    String defaultClass,
    Map<String, ClassOverride> overrides,
    List<String> models,
    List<String> services,
    List<OpenRoute> openRoutes,
    double weight,
    long budgetTokensPerMinute) {
  public WorkspaceParameters {
    Objects.requireNonNull(workspace, "workspace is null");
    Objects.requireNonNull(template, "template is null");
    classes = classes == null ? List.of() : List.copyOf(classes);
    overrides = overrides == null ? Map.of() : Map.copyOf(overrides);
    models = models == null ? List.of() : List.copyOf(models);
    services = services == null ? List.of() : List.copyOf(services);
    openRoutes = openRoutes == null ? List.of() : List.copyOf(openRoutes);
  }
}
