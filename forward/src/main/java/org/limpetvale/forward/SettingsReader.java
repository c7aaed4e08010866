package org.limpetvale.forward;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeSet;
import org.limpetvale.core.config.Fault;
import org.limpetvale.core.limit.ColdStart;
import org.limpetvale.forward.accept.CallerCapacity;
import org.limpetvale.forward.account.RetryBudgets;

/** Reads settings from JSON and reports all faults in them at once. */
public final class SettingsReader {
  private static final int HIGHEST_PORT = 65_535;

  private final List<Fault> faults = new ArrayList<>();

  private SettingsReader() {}

  /** The result of reading settings. */
  public sealed interface Outcome {
    /** Valid settings. */
    record Valid(ForwardSettings settings) implements Outcome {}

    /** Invalid settings, with all faults. */
    record Invalid(List<Fault> faults) implements Outcome {}
  }

  /** Reads settings from JSON text. */
  public static Outcome read(String json) {
    JsonNode root;
    try {
      root = JsonMapper.builder().build().readTree(json);
    } catch (JsonProcessingException e) {
      return new Outcome.Invalid(
          List.of(new Fault("(whole input)", String.valueOf(e.getOriginalMessage()), "JSON")));
    }
    SettingsReader reader = new SettingsReader();
    ForwardSettings settings = reader.settings(root);
    return reader.faults.isEmpty()
        ? new Outcome.Valid(settings)
        : new Outcome.Invalid(List.copyOf(reader.faults));
  }

  private ForwardSettings settings(JsonNode root) {
    checkKnownFields(
        root,
        "",
        Set.of(
            "name",
            "zone",
            "regionsByZone",
            "listen",
            "store",
            "duties",
            "bounds",
            "machine",
            "placement"));
    JsonNode listen = root.path("listen");
    checkKnownFields(listen, "listen.", Set.of("callers", "ready", "metrics", "peers"));
    checkKnownFields(root.path("store"), "store.", Set.of("address"));
    checkKnownFields(root.path("duties"), "duties.", Set.of("address"));
    return new ForwardSettings(
        text(root, "name", ""),
        text(root, "zone", ""),
        address(listen, "callers", "listen."),
        address(listen, "ready", "listen."),
        address(listen, "metrics", "listen."),
        address(listen, "peers", "listen."),
        address(root.path("store"), "address", "store."),
        address(root.path("duties"), "address", "duties."),
        bounds(root.path("bounds")),
        regionsByZone(root.path("regionsByZone")),
        callerCapacity(root.path("machine")),
        placement(root.path("placement")));
  }

  private CallerCapacity callerCapacity(JsonNode node) {
    checkKnownFields(node, "machine.", Set.of("memoryMegabytes", "maxDescriptors"));
    return CallerCapacity.of(
        optionalCount(node, "memoryMegabytes"), optionalCount(node, "maxDescriptors"));
  }

  private OptionalInt optionalCount(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (value.isMissingNode() || value.isNull()) {
      return OptionalInt.empty();
    }
    if (!value.canConvertToInt() || value.asInt() <= 0) {
      faults.add(new Fault("machine." + field, display(value), "a whole number above 0"));
      return OptionalInt.empty();
    }
    return OptionalInt.of(value.asInt());
  }

  /** Returns the region of each zone; a deployment may leave the field out or set it to null. */
  private Map<String, String> regionsByZone(JsonNode node) {
    Map<String, String> regions = new HashMap<>();
    if (!node.isObject() && !node.isMissingNode() && !node.isNull()) {
      faults.add(new Fault("regionsByZone", display(node), "an object of zones and regions"));
    }
    node.fieldNames()
        .forEachRemaining(zone -> regions.put(zone, text(node, zone, "regionsByZone.")));
    return regions;
  }

  private ForwardSettings.Placement placement(JsonNode node) {
    checkKnownFields(
        node,
        "placement.",
        Set.of("weighsPromptMemory", "usesStatedSpeeds", "separatesShortGapsAtStart"));
    return new ForwardSettings.Placement(
        flag(node, "weighsPromptMemory", "placement."),
        flag(node, "usesStatedSpeeds", "placement."),
        flag(node, "separatesShortGapsAtStart", "placement."));
  }

  /** Returns a flag; false if it is absent. */
  private boolean flag(JsonNode node, String field, String path) {
    JsonNode value = node.path(field);
    if (!value.isMissingNode() && !value.isBoolean()) {
      faults.add(new Fault(path + field, display(value), "true or false"));
    }
    return value.asBoolean();
  }

  private ForwardSettings.Bounds bounds(JsonNode node) {
    checkKnownFields(
        node,
        "bounds.",
        Set.of(
            "revokeMillis",
            "graceMillis",
            "leaseMillis",
            "usageWindowMillis",
            "retryRatio",
            "retryAllowance",
            "retryWindowMillis",
            "coldOvershoot",
            "coldAllowance"));
    return new ForwardSettings.Bounds(
        millis(node, "revokeMillis"),
        millis(node, "graceMillis"),
        millis(node, "leaseMillis"),
        millis(node, "usageWindowMillis"),
        new RetryBudgets.Bounds(
            number(node, "retryRatio"),
            number(node, "retryAllowance"),
            millis(node, "retryWindowMillis")),
        new ColdStart.Bounds(
            number(node, "coldOvershoot", ColdStart.Bounds.STRICT.overshoot()),
            number(node, "coldAllowance", ColdStart.Bounds.STRICT.allowance())));
  }

  /** Returns a number that a deployment may leave out or set to null. */
  private double number(JsonNode node, String field, double defaultValue) {
    JsonNode value = node.path(field);
    return value.isMissingNode() || value.isNull() ? defaultValue : number(node, field);
  }

  private void checkKnownFields(JsonNode node, String path, Set<String> names) {
    node.fieldNames()
        .forEachRemaining(
            name -> {
              if (!names.contains(name)) {
                faults.add(
                    new Fault(
                        path + name, "(present)", "one of the fields " + new TreeSet<>(names)));
              }
            });
  }

  private String text(JsonNode node, String field, String path) {
    JsonNode value = node.path(field);
    if (!value.isTextual() || value.asText().isEmpty()) {
      faults.add(new Fault(path + field, display(value), "a text"));
      return "";
    }
    return value.asText();
  }

  private InetSocketAddress address(JsonNode node, String field, String path) {
    String value = text(node, field, path);
    int colon = value.lastIndexOf(':');
    if (colon > 0) {
      try {
        int port = Integer.parseInt(value.substring(colon + 1));
        if (port > 0 && port <= HIGHEST_PORT) {
          return new InetSocketAddress(value.substring(0, colon), port);
        }
      } catch (NumberFormatException e) {
        // Reported below, in the same way as a port out of range.
      }
    }
    faults.add(new Fault(path + field, value, "an IP address and a port, as in 10.0.0.1:80"));
    return new InetSocketAddress(0);
  }

  private long millis(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isNumber() || value.asDouble() <= 0) {
      faults.add(new Fault("bounds." + field, display(value), "milliseconds above 0"));
      return 1;
    }
    return Math.round(value.asDouble());
  }

  private double number(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isNumber() || value.asDouble() < 0) {
      faults.add(new Fault("bounds." + field, display(value), "a number of at least 0"));
      return 0;
    }
    return value.asDouble();
  }

  private static String display(JsonNode value) {
    return value.isMissingNode() ? "(absent)" : value.toString();
  }
}
