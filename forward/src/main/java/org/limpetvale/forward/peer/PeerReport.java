package org.limpetvale.forward.peer;

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
import org.limpetvale.core.crash.PartReport;
import org.limpetvale.core.limit.LimitNotice;
import org.limpetvale.core.placement.EngineModel;
import org.limpetvale.forward.json.JsonFields;
import org.limpetvale.forward.json.PartReportJson;
import org.limpetvale.forward.json.UnusableJsonException;

/**
 * The state that one entry reports to the others. A later report replaces earlier ones.
 *
 * @param writer id of the entry's process
 * @param sequenceNumber sequence number of the report; later reports have higher numbers
 * @param clockOffsetMillis difference between the entry's wall clock and the store's clock; 0 if
 *     unknown
 * @param closedWindow newest usage window whose counts are final; {@link #USAGE_OMITTED} if the
 *     report contains no usage
 * @param usage number of requests started so far, by window and workspace; empty if omitted
 * @param loads load that the entry has on upstreams, by upstream
 * @param placements ids of the shared prompt parts recently sent to upstreams, by upstream
 * @param waiting number of requests that wait at the entry, by service
 * @param suspects requests and prompt parts that the entry suspects of crashing upstreams, or has
 *     served although others suspect them
 * @param engines engine models measured by the entry, by service
 * @param limits limits recently heard from upstreams, by upstream
 * @param leaving start times of the upstream processes recently heard to be leaving, by upstream
 * @param releasedEpoch fencing token of the lease that the entry finally released; 0 if there is
 *     none
 * @param storeEra era of the store that the entry has seen; the clock offset belongs to it
 * @param configVersion version of the configuration that the entry has in force; negative if none
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
    Map<String, PartReport> suspects,
    Map<String, EngineModel> engines,
    Map<String, Limit> limits,
    Map<String, Long> leaving,
    long releasedEpoch,
    long storeEra,
    long configVersion) {
  /** Value of the closed window in a report without usage. */
  public static final long USAGE_OMITTED = -1;

  private static final double TENTHS = 10;
  private static final String WINDOW_PATTERN = "-?\\d{1,12}";

  /** Largest count that is used, far above what one entry reaches. */
  private static final int MAX_COUNT = 1_000_000;

  private static final ObjectMapper JSON = JsonMapper.builder().build();

  // The JSON names are short because a report is sent to every other entry several times a second.
  private static final String WRITER = "w";
  private static final String NUMBER = "n";
  private static final String CLOCK_OFFSET = "o";
  private static final String CLOSED_WINDOW = "c";
  private static final String USAGE = "u";
  private static final String LOADS = "l";
  private static final String PLACEMENTS = "p";
  private static final String WAITING = "q";
  private static final String SUSPECTS = "y";
  private static final String ENGINES = "e";
  private static final String LIMITS = "m";
  private static final String LEAVING = "v";
  private static final String RELEASED_EPOCH = "r";
  private static final String STORE_ERA = "s";
  private static final String CONFIG_VERSION = "g";
  private static final long NO_CONFIG = -1;

  /** Position of an upstream's stated speed in its load, which earlier versions do not write. */
  private static final int STATED_SPEED_INDEX = 5;

  /** Stands for a limit that has ended. */
  private static final double NO_LIMIT = -1;

  /**
   * The load of an entry on an upstream.
   *
   * @param requests number of requests in progress
   * @param pendingPromptTokens prompt tokens of requests without a first event
   * @param tightStreams number of streams with a short gap target
   * @param failurePercent share of recent requests that failed through the upstream's fault
   * @param speedPercent speed of the upstream relative to the others of its service; 0 if unknown
   * @param statedSpeedPercent lasting speed of its machine relative to the usual one, as it states
   *     itself; 0 if unknown
   */
  public record Load(
      int requests,
      int pendingPromptTokens,
      int tightStreams,
      int failurePercent,
      int speedPercent,
      int statedSpeedPercent) {
    /** No load on an upstream without failures. */
    public static final Load NONE = new Load(0, 0, 0, 0, 0, 0);

    /** Creates the load on an upstream that has stated no speed. */
    public Load(
        int requests,
        int pendingPromptTokens,
        int tightStreams,
        int failurePercent,
        int speedPercent) {
      this(requests, pendingPromptTokens, tightStreams, failurePercent, speedPercent, 0);
    }
  }

  /**
   * A limit on the requests of all entries, as stated by an upstream.
   *
   * @param notice what the upstream stated
   * @param startedMillis start time of the upstream's process
   */
  public record Limit(LimitNotice notice, long startedMillis) {
    public Limit {
      Objects.requireNonNull(notice, "notice is null");
    }
  }

  public PeerReport {
    Objects.requireNonNull(writer, "writer is null");
    usage = Map.copyOf(Objects.requireNonNull(usage, "usage is null"));
    loads = Map.copyOf(Objects.requireNonNull(loads, "loads is null"));
    placements = Map.copyOf(Objects.requireNonNull(placements, "placements is null"));
    waiting = Map.copyOf(Objects.requireNonNull(waiting, "waiting is null"));
    suspects = Map.copyOf(Objects.requireNonNull(suspects, "suspects is null"));
    engines = Map.copyOf(Objects.requireNonNull(engines, "engines is null"));
    limits = Map.copyOf(Objects.requireNonNull(limits, "limits is null"));
    leaving = Map.copyOf(Objects.requireNonNull(leaving, "leaving is null"));
  }

  /** Returns this report without usage and thus without a closed window. */
  public PeerReport withoutUsage() {
    return withUsage(USAGE_OMITTED, Map.of());
  }

  /** Returns this report with the usage and the closed window of another. */
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
        suspects,
        engines,
        limits,
        leaving,
        releasedEpoch,
        storeEra,
        configVersion);
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
    loads.forEach((id, load) -> putLoad(upstreams.putArray(id), load));
    if (!placements.isEmpty()) {
      putLists(node.putObject(PLACEMENTS), placements);
    }
    putCounts(node, WAITING, waiting);
    PartReportJson.put(node, SUSPECTS, suspects);
    putEngines(node);
    putLimits(node);
    putLeaving(node);
    if (releasedEpoch > 0) {
      node.put(RELEASED_EPOCH, releasedEpoch);
    }
    node.put(STORE_ERA, storeEra);
    node.put(CONFIG_VERSION, configVersion);
    return node.toString();
  }

  private static void putLoad(ArrayNode array, Load load) {
    array
        .add(load.requests())
        .add(load.pendingPromptTokens())
        .add(load.tightStreams())
        .add(load.failurePercent())
        .add(load.speedPercent());
    if (load.statedSpeedPercent() > 0) {
      array.add(load.statedSpeedPercent());
    }
  }

  /** Parses a report; empty if the text is not a valid report. */
  public static Optional<PeerReport> parse(String json) {
    try {
      return Optional.of(read(JsonFields.parseObject(json)));
    } catch (UnusableJsonException e) {
      return Optional.empty();
    }
  }

  private static PeerReport read(JsonNode node) throws UnusableJsonException {
    return new PeerReport(
        JsonFields.text(node, WRITER),
        integer(node.path(NUMBER), NUMBER),
        integer(node, CLOCK_OFFSET, 0),
        integer(node, CLOSED_WINDOW, 0),
        usage(JsonFields.object(node, USAGE)),
        loads(JsonFields.object(node, LOADS)),
        lists(JsonFields.object(node, PLACEMENTS)),
        counts(JsonFields.object(node, WAITING)),
        PartReportJson.read(node, SUSPECTS),
        engines(JsonFields.object(node, ENGINES)),
        limits(JsonFields.object(node, LIMITS)),
        startTimes(JsonFields.object(node, LEAVING)),
        integer(node, RELEASED_EPOCH, 0),
        integer(node, STORE_ERA, 0),
        integer(node, CONFIG_VERSION, NO_CONFIG));
  }

  private static long integer(JsonNode node, String name, long defaultValue)
      throws UnusableJsonException {
    return JsonFields.isAbsent(node.path(name)) ? defaultValue : integer(node.path(name), name);
  }

  private static long integer(JsonNode value, String name) throws UnusableJsonException {
    return JsonFields.number(value, name, -JsonFields.MAX_EXACT, JsonFields.MAX_EXACT);
  }

  private static Map<Long, Map<String, Long>> usage(JsonNode node) throws UnusableJsonException {
    Map<Long, Map<String, Long>> usage = new HashMap<>();
    for (Map.Entry<String, JsonNode> window : node.properties()) {
      if (!window.getKey().matches(WINDOW_PATTERN)) {
        throw new UnusableJsonException("a window is not a number");
      }
      Map<String, Long> counts = new HashMap<>();
      for (Map.Entry<String, JsonNode> each : window.getValue().properties()) {
        counts.put(
            each.getKey(), JsonFields.number(each.getValue(), USAGE, 0, JsonFields.MAX_EXACT));
      }
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

  private static Map<String, Set<String>> lists(JsonNode node) throws UnusableJsonException {
    Map<String, Set<String>> lists = new HashMap<>();
    for (Map.Entry<String, JsonNode> each : node.properties()) {
      Set<String> values = new HashSet<>();
      for (JsonNode value : each.getValue()) {
        values.add(JsonFields.element(value, each.getKey()));
      }
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

  private static Map<String, Integer> counts(JsonNode node) throws UnusableJsonException {
    Map<String, Integer> counts = new HashMap<>();
    for (Map.Entry<String, JsonNode> each : node.properties()) {
      counts.put(each.getKey(), count(each.getValue(), WAITING));
    }
    return counts;
  }

  /** Returns a count, limited so that sums over all entries do not overflow. */
  private static int count(JsonNode value, String name) throws UnusableJsonException {
    long count = JsonFields.number(value, name, Integer.MIN_VALUE, Integer.MAX_VALUE);
    return (int) Math.clamp(count, 0, MAX_COUNT);
  }

  /** Writes the figures in tenths, rounded, because integers are shorter in JSON. */
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

  private static long tenths(JsonNode value) throws UnusableJsonException {
    return JsonFields.number(value, ENGINES, Long.MIN_VALUE, Long.MAX_VALUE);
  }

  private static Map<String, EngineModel> engines(JsonNode node) throws UnusableJsonException {
    Map<String, EngineModel> engines = new HashMap<>();
    for (Map.Entry<String, JsonNode> each : node.properties()) {
      double tokensPerMilli = tenths(each.getValue().path(0)) / TENTHS;
      if (tokensPerMilli > 0) {
        double idleMillis = tenths(each.getValue().path(1)) / TENTHS;
        double readingMillis = tenths(each.getValue().path(2)) / TENTHS;
        engines.put(each.getKey(), new EngineModel(tokensPerMilli, idleMillis, readingMillis));
      }
    }
    return engines;
  }

  private void putLimits(ObjectNode node) {
    if (limits.isEmpty()) {
      return;
    }
    ObjectNode inner = node.putObject(LIMITS);
    limits.forEach(
        (id, limit) ->
            inner
                .putArray(id)
                .add(limit.notice().requestsPerSecond().orElse(NO_LIMIT))
                .add(limit.notice().statedAtMillis())
                .add(limit.startedMillis()));
  }

  private static Map<String, Limit> limits(JsonNode node) throws UnusableJsonException {
    Map<String, Limit> limits = new HashMap<>();
    for (Map.Entry<String, JsonNode> each : node.properties()) {
      double requestsPerSecond =
          JsonFields.decimal(each.getValue().path(0), LIMITS, NO_LIMIT, Double.MAX_VALUE);
      long statedAtMillis = integer(each.getValue().path(1), LIMITS);
      LimitNotice notice =
          requestsPerSecond >= 0
              ? LimitNotice.of(requestsPerSecond, statedAtMillis)
              : LimitNotice.ended(statedAtMillis);
      limits.put(each.getKey(), new Limit(notice, integer(each.getValue().path(2), LIMITS)));
    }
    return limits;
  }

  private void putLeaving(ObjectNode node) {
    if (!leaving.isEmpty()) {
      ObjectNode inner = node.putObject(LEAVING);
      leaving.forEach(inner::put);
    }
  }

  private static Map<String, Long> startTimes(JsonNode node) throws UnusableJsonException {
    Map<String, Long> startTimes = new HashMap<>();
    for (Map.Entry<String, JsonNode> each : node.properties()) {
      startTimes.put(each.getKey(), integer(each.getValue(), LEAVING));
    }
    return startTimes;
  }

  private static Map<String, Load> loads(JsonNode node) throws UnusableJsonException {
    Map<String, Load> loads = new HashMap<>();
    for (Map.Entry<String, JsonNode> each : node.properties()) {
      JsonNode values = each.getValue();
      loads.put(
          each.getKey(),
          new Load(
              count(values.path(0), LOADS),
              count(values.path(1), LOADS),
              count(values.path(2), LOADS),
              count(values.path(3), LOADS),
              count(values.path(4), LOADS),
              values.has(STATED_SPEED_INDEX) ? count(values.path(STATED_SPEED_INDEX), LOADS) : 0));
    }
    return loads;
  }
}
