package org.limpetvale.core.config;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A configuration template shared by workspaces.
 *
 * @param name name of the template
 * @param classes request classes by name
 * @param models models that workspaces may use
 * @param services routes of plain services by service name
 */
public record Template(
    String name,
    Map<String, RequestClass> classes,
    List<String> models,
    Map<String, List<ServiceRoute>> services) {
  public Template {
    Objects.requireNonNull(name, "name is null");
    classes = classes == null ? Map.of() : Map.copyOf(classes);
    models = models == null ? List.of() : List.copyOf(models);
    services = services == null ? Map.of() : Map.copyOf(services);
  }
}
