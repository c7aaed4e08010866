package org.limpetvale.forward.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.limpetvale.core.placement.EngineModel;

/**
 * What one entry tells the others at a moment. Later reports replace earlier ones.
 *
 * @param writer id of the entry's process
 * @param sequenceNumber number of the report; later ones have higher numbers
 * @param clockOffsetMillis difference between its time of day and the store's clock; 0 when unknown
 * @param closedWindow newest usage window whose counts do not grow any more; {@link #USAGE_OMITTED}
 *     when the report tells no usage
 * @param usage requests that began to run, by window and workspace; totals so far; empty when the
 *     report does not tell them
 * @param loads what the entry has sent to upstreams and not yet seen answered, by upstream
 * @param placements shared prompt parts that it has lately sent to upstreams, by upstream
 * @param waiting requests that wait at the entry, by service
 * @param crashes upstream processes that crashed on a request, by the request's digest; none when
 *     it was served since
 * @param engines what it has learned of the engines, by service
 * @param releasedEpoch fencing number of the lease that the entry held and has given up for good; 0
 *     when there is none
 */
public record PeerReport(
    String writer,
    long sequenceNumber,
    long clockOffsetMillis,
    long closedWindow,
    Map<Long, Map<String, Long>> usage,
    Map<String, Load> loads,
    Map<String, Set<String>> placements,
    Map<String, Integer> waiting,
    Map<String, Set<String>> crashes,
    Map<String, EngineModel> engines,
    long releasedEpoch) {
  /** Stands for the closed window in a report that tells no usage. */
  public static final long USAGE_OMITTED = -1;

  private static final double TENTHS = 10;
  private static final ObjectMapper JSON = JsonMapper.builder().build();

  // Names in the JSON are short, as a report is sent several times a second to each other entry.
  private static final String WRITER = "w";
  private static final String NUMBER = "n";
  private static final String CLOCK_OFFSET = "o";
  private static final String CLOSED_WINDOW = "c";
  private static final String USAGE = "u";
  private static final String LOADS = "l";
  private static final String PLACEMENTS = "p";
  private static final String WAITING = "q";
  private static final String CRASHES = "x";
  private static final String ENGINES = "e";
  private static final String RELEASED_EPOCH = "r";

  /**
   * What an entry has at an upstream.
   *
   * @param requests requests under way
   * @param pendingPromptTokens prompt tokens of requests without a first event
   * @param tightStreams streams with a short gap target
   * @param failurePercent share of recent requests that the upstream failed
   * @param speedPercent speed of the upstream against its peers; 0 while it is not known
   */
  public record Load(
      int requests,
      int pendingPromptTokens,
      int tightStreams,
      int failurePercent,
      int speedPercent) {
    /** Nothing at an upstream that fails nothing. */
    public static final Load NONE = new Load(0, 0, 0, 0, 0);
  }

  public PeerReport {
    Objects.requireNonNull(writer, "writer is null");
    usage = Map.copyOf(Objects.requireNonNull(usage, "usage is null"));
    loads = Map.copyOf(Objects.requireNonNull(loads, "loads is null"));
    placements = Map.copyOf(Objects.requireNonNull(placements, "placements is null"));
    waiting = Map.copyOf(Objects.requireNonNull(waiting, "waiting is null"));
    crashes = Map.copyOf(Objects.requireNonNull(crashes, "crashes is null"));
    engines = Map.copyOf(Objects.requireNonNull(engines, "engines is null"));
  }

  /** Returns this report without its usage, and so without what it closes. */
  public PeerReport withoutUsage() {
    return withUsage(USAGE_OMITTED, Map.of());
  }

  /** Returns this report with the usage of another. */
  PeerReport withUsageOf(PeerReport other) {
    return withUsage(other.closedWindow, other.usage);
  }

  private PeerReport withUsage(long closed, Map<Long, Map<String, Long>> told) {
    return new PeerReport(
        writer,
        sequenceNumber,
        clockOffsetMillis,
        closed,
        told,
        loads,
        placements,
        waiting,
        crashes,
        engines,
        releasedEpoch);
  }

  /** Returns the report as JSON. */
  public String toJson() {
    ObjectNode node = JSON.createObjectNode();
    node.put(WRITER, writer);
    node.put(NUMBER, sequenceNumber);
    node.put(CLOCK_OFFSET, clockOffsetMillis);
    node.put(CLOSED_WINDOW, closedWindow);
    ObjectNode windows = node.putObject(USAGE);
    usage.forEach(
        (window, counts) -> {
          ObjectNode inner = windows.putObject(Long.toString(window));
          counts.forEach(inner::put);
        });
    ObjectNode upstreams = node.putObject(LOADS);
    loads.forEach(
        (id, load) ->
            upstreams
                .putArray(id)
                .add(load.requests())
                .add(load.pendingPromptTokens())
                .add(load.tightStreams())
                .add(load.failurePercent())
                .add(load.speedPercent()));
    if (!placements.isEmpty()) {
      putLists(node.putObject(PLACEMENTS), placements);
    }
    putCounts(node, WAITING, waiting);
    if (!crashes.isEmpty()) {
      putLists(node.putObject(CRASHES), crashes);
    }
    putEngines(node);
    if (releasedEpoch > 0) {
      node.put(RELEASED_EPOCH, releasedEpoch);
    }
    return node.toString();
  }

  /** Reads a report; empty when the text is not one. */
  public static Optional<PeerReport> parse(String json) {
    try {
      JsonNode node = JSON.readTree(json);
      if (!node.path(WRITER).isTextual() || !node.path(NUMBER).isIntegralNumber()) {
        return Optional.empty();
      }
      return Optional.of(
          new PeerReport(
              node.path(WRITER).asText(),
              node.path(NUMBER).asLong(),
              node.path(CLOCK_OFFSET).asLong(),
              node.path(CLOSED_WINDOW).asLong(),
              usage(node.path(USAGE)),
              loads(node.path(LOADS)),
              lists(node.path(PLACEMENTS)),
              counts(node.path(WAITING)),
              lists(node.path(CRASHES)),
              engines(node.path(ENGINES)),
              node.path(RELEASED_EPOCH).asLong()));
    } catch (JsonProcessingException | NumberFormatException e) {
      return Optional.empty();
    }
  }

  private static Map<Long, Map<String, Long>> usage(JsonNode node) {
    Map<Long, Map<String, Long>> usage = new HashMap<>();
    for (Map.Entry<String, JsonNode> window : node.properties()) {
      Map<String, Long> counts = new HashMap<>();
      window.getValue().properties().forEach(e -> counts.put(e.getKey(), e.getValue().asLong()));
      usage.put(Long.parseLong(window.getKey()), counts);
    }
    return usage;
  }

  private static void putLists(ObjectNode node, Map<String, Set<String>> lists) {
    lists.forEach(
        (name, values) -> {
          ArrayNode array = node.putArray(name);
          values.forEach(array::add);
        });
  }

  private static Map<String, Set<String>> lists(JsonNode node) {
    Map<String, Set<String>> lists = new HashMap<>();
    for (Map.Entry<String, JsonNode> each : node.properties()) {
      Set<String> values = new HashSet<>();
      each.getValue().forEach(value -> values.add(value.asText()));
      lists.put(each.getKey(), values);
    }
    return lists;
  }

  private static void putCounts(ObjectNode node, String name, Map<String, Integer> counts) {
    if (!counts.isEmpty()) {
      ObjectNode inner = node.putObject(name);
      counts.forEach(inner::put);
    }
  }

  private static Map<String, Integer> counts(JsonNode node) {
    Map<String, Integer> counts = new HashMap<>();
    node.properties().forEach(each -> counts.put(each.getKey(), each.getValue().asInt()));
    return counts;
  }

  /** Puts tenths of the figures, as whole numbers are shorter. */
  private void putEngines(ObjectNode node) {
    if (engines.isEmpty()) {
      return;
    }
    ObjectNode inner = node.putObject(ENGINES);
    engines.forEach(
        (service, model) ->
            inner
                .putArray(service)
                .add(Math.round(model.prefillTokensPerMilli() * TENTHS))
                .add(Math.round(model.idlePauseMillis() * TENTHS))
                .add(Math.round(model.readingPauseMillis() * TENTHS)));
  }

  private static Map<String, EngineModel> engines(JsonNode node) {
    Map<String, EngineModel> engines = new HashMap<>();
    for (Map.Entry<String, JsonNode> each : node.properties()) {
      double tokensPerMilli = each.getValue().path(0).asLong() / TENTHS;
      if (tokensPerMilli > 0) {
        double idleMillis = each.getValue().path(1).asLong() / TENTHS;
        double readingMillis = each.getValue().path(2).asLong() / TENTHS;
        engines.put(each.getKey(), new EngineModel(tokensPerMilli, idleMillis, readingMillis));
      }
    }
    return engines;
  }

  private static Map<String, Load> loads(JsonNode node) {
    Map<String, Load> loads = new HashMap<>();
    for (Map.Entry<String, JsonNode> each : node.properties()) {
      JsonNode values = each.getValue();
      loads.put(
          each.getKey(),
          new Load(
              values.path(0).asInt(),
              values.path(1).asInt(),
              values.path(2).asInt(),
              values.path(3).asInt(),
              values.path(4).asInt()));
    }
    return loads;
  }
}
