package org.limpetvale.forward.duty;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.limpetvale.core.lease.LeaseRow;
import org.limpetvale.core.store.StoreVersion;

/** Encodes and parses the keys and values of the rows that entries share. */
final class FleetRows {
  static final String LEASE_KEY = "lease/duties";
  static final String MEMBER_PREFIX = "member/";
  static final String USAGE_PREFIX = "usage/";
  static final String REPORT_PREFIX = "report/";
  static final String ERA_PREFIX = "era/";

  private static final ObjectMapper JSON = JsonMapper.builder().build();

  private FleetRows() {}

  /** The usage counts of one entry for a window. */
  record UsageRow(long window, String entry, boolean closed, Map<String, Long> counts) {}

  /**
   * The final usage counts of a window.
   *
   * @param accepted whether the platform has accepted them
   */
  record ReportRow(long window, boolean accepted, Map<String, Long> counts) {}

  static String memberKey(String entry) {
    return MEMBER_PREFIX + entry;
  }

  static String usageKey(long window, String entry) {
    return USAGE_PREFIX + window + "/" + entry;
  }

  static String reportKey(long window) {
    return REPORT_PREFIX + window;
  }

  static String eraKey(long era) {
    return ERA_PREFIX + era;
  }

  /**
   * The row of an era of the store.
   *
   * @param firstWindow first usage window that may be sealed in the era
   * @param startWindow usage window in which the row was first written
   */
  record EraRow(long firstWindow, long startWindow) {
    /** Stands for an unreadable row: no window may be sealed. */
    static final EraRow UNREADABLE = new EraRow(Long.MAX_VALUE, Long.MAX_VALUE);

    EraRow withFirstWindow(long window) {
      return new EraRow(window, startWindow);
    }
  }

  static String encodeEra(EraRow row) {
    return JSON.createObjectNode()
        .put("firstWindow", row.firstWindow())
        .put("startWindow", row.startWindow())
        .toString();
  }

  static EraRow parseEra(String text) {
    return parse(text)
        .filter(node -> node.path("firstWindow").isIntegralNumber())
        .map(
            node ->
                new EraRow(node.path("firstWindow").asLong(), node.path("startWindow").asLong()))
        .orElse(EraRow.UNREADABLE);
  }

  static String encodeMember(
      InetSocketAddress address, long heartbeat, Map<String, Set<String>> crashes) {
    ObjectNode node = JSON.createObjectNode();
    node.put("host", address.getHostString());
    node.put("port", address.getPort());
    node.put("beat", heartbeat);
    putCrashes(node, crashes);
    return node.toString();
  }

  /**
   * Returns the row of an entry that has stopped. It still counts as a sharer of the retry budget
   * for the retries that it has sent.
   */
  static String encodeDeparture(Map<String, Set<String>> crashes) {
    ObjectNode node = JSON.createObjectNode();
    node.put("left", true);
    putCrashes(node, crashes);
    return node.toString();
  }

  private static void putCrashes(ObjectNode node, Map<String, Set<String>> crashes) {
    if (!crashes.isEmpty()) {
      ObjectNode inner = node.putObject("crashes");
      new TreeMap<>(crashes).forEach((digest, each) -> each.forEach(inner.putArray(digest)::add));
    }
  }

  static Members.Row parseMember(StoreVersion version, String text) {
    Optional<JsonNode> node = parse(text);
    Map<String, Set<String>> crashes = new TreeMap<>();
    node.ifPresent(
        each ->
            each.path("crashes")
                .properties()
                .forEach(entry -> crashes.put(entry.getKey(), texts(entry.getValue()))));
    return new Members.Row(version, node.flatMap(FleetRows::address), crashes);
  }

  private static Set<String> texts(JsonNode array) {
    Set<String> texts = new HashSet<>();
    array.forEach(each -> texts.add(each.asText()));
    return texts;
  }

  private static Optional<InetSocketAddress> address(JsonNode node) {
    boolean present = node.path("host").isTextual() && node.path("port").isInt();
    return present
        ? Optional.of(new InetSocketAddress(node.path("host").asText(), node.path("port").asInt()))
        : Optional.empty();
  }

  static String encodeLease(LeaseRow row) {
    ObjectNode node = JSON.createObjectNode();
    node.put("duty", row.duty());
    node.put("holder", row.holder());
    node.put("epoch", row.epoch());
    node.put("durationMillis", row.durationMillis());
    node.put("token", row.token());
    return node.toString();
  }

  static Optional<LeaseRow> parseLease(String text) {
    return parse(text)
        .map(
            node ->
                new LeaseRow(
                    node.path("duty").asText(),
                    node.path("holder").asText(),
                    node.path("epoch").asLong(),
                    node.path("durationMillis").asLong(),
                    node.path("token").asText()));
  }

  static String encodeUsage(boolean closed, Map<String, Long> counts) {
    ObjectNode node = JSON.createObjectNode();
    node.put("closed", closed);
    putCounts(node, counts);
    return node.toString();
  }

  static Optional<UsageRow> parseUsage(String key, String text) {
    String[] parts = key.substring(USAGE_PREFIX.length()).split("/", 2);
    if (parts.length != 2) {
      return Optional.empty();
    }
    return parse(text)
        .map(
            node ->
                new UsageRow(
                    Long.parseLong(parts[0]),
                    parts[1],
                    node.path("closed").asBoolean(),
                    counts(node)));
  }

  static String encodeReport(boolean accepted, Map<String, Long> counts) {
    ObjectNode node = JSON.createObjectNode();
    node.put("taken", accepted);
    putCounts(node, counts);
    return node.toString();
  }

  static Optional<ReportRow> parseReport(String key, String text) {
    long window = Long.parseLong(key.substring(REPORT_PREFIX.length()));
    return parse(text)
        .map(node -> new ReportRow(window, node.path("taken").asBoolean(), counts(node)));
  }

  private static void putCounts(ObjectNode node, Map<String, Long> counts) {
    ObjectNode inner = node.putObject("counts");
    new TreeMap<>(counts).forEach(inner::put);
  }

  private static Map<String, Long> counts(JsonNode node) {
    Map<String, Long> counts = new TreeMap<>();
    node.path("counts")
        .properties()
        .forEach(entry -> counts.put(entry.getKey(), entry.getValue().asLong()));
    return counts;
  }

  private static Optional<JsonNode> parse(String text) {
    try {
      return Optional.of(JSON.readTree(text));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }
}
