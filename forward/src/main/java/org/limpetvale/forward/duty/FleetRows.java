package org.limpetvale.forward.duty;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.limpetvale.core.crash.PartReport;
import org.limpetvale.core.lease.LeaseRow;
import org.limpetvale.core.store.StoreVersion;
import org.limpetvale.forward.json.JsonFields;
import org.limpetvale.forward.json.NumericAddress;
import org.limpetvale.forward.json.PartReportJson;
import org.limpetvale.forward.json.UnusableJsonException;

/** Encodes and parses the keys and values of the rows that entries share. */
final class FleetRows {
  static final String LEASE_KEY = "lease/duties";
  static final String MEMBER_PREFIX = "member/";
  static final String USAGE_PREFIX = "usage/";
  static final String REPORT_PREFIX = "report/";
  static final String ERA_PREFIX = "era/";

  /** Number of a window whose end, in milliseconds, is far from an overflow. */
  private static final long MAX_WINDOW = 999_999_999_999L;

  private static final long MAX_LEASE_MILLIS = 60_000;

  private static final String WINDOW = "(-?\\d{1,12})";
  private static final Pattern USAGE_KEY =
      Pattern.compile(USAGE_PREFIX + WINDOW + "/(.*)", Pattern.DOTALL);
  private static final Pattern REPORT_KEY = Pattern.compile(REPORT_PREFIX + WINDOW);

  private static final ObjectMapper JSON = JsonMapper.builder().build();

  private FleetRows() {}

  /** The usage counts of one entry for a window. */
  record UsageRow(long window, String entry, boolean closed, Map<String, Long> counts) {}

  /**
   * The final usage counts of a window.
   *
   * @param accepted whether the platform has accepted them
   * @param era era of the store in which the row was sealed, or written again by an entry that knew
   *     it before
   */
  record ReportRow(long window, boolean accepted, Map<String, Long> counts, long era) {
    ReportRow withAccepted(boolean value) {
      return new ReportRow(window, value, counts, era);
    }

    ReportRow withEra(long value) {
      return new ReportRow(window, accepted, counts, value);
    }
  }

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

  /** Parses the row of an era; {@link EraRow#UNREADABLE} if it is unreadable. */
  static EraRow parseEra(String text) {
    try {
      JsonNode node = JsonFields.parseObject(text);
      return new EraRow(eraWindow(node, "firstWindow"), eraWindow(node, "startWindow"));
    } catch (UnusableJsonException e) {
      return EraRow.UNREADABLE;
    }
  }

  private static long eraWindow(JsonNode node, String name) throws UnusableJsonException {
    return JsonFields.number(node.path(name), name, -MAX_WINDOW, JsonFields.MAX_EXACT);
  }

  static String encodeMember(InetSocketAddress address, long heartbeat, SharedSuspects suspects) {
    ObjectNode node = JSON.createObjectNode();
    node.put("host", hostOf(address));
    node.put("port", address.getPort());
    node.put("beat", heartbeat);
    putSuspects(node, suspects);
    return node.toString();
  }

  /** Returns the numeric host, since other entries do not look names up. */
  private static String hostOf(InetSocketAddress address) {
    return address.isUnresolved() ? address.getHostString() : address.getAddress().getHostAddress();
  }

  /**
   * Returns the row of an entry that has stopped. It still counts as a sharer of the retry budget
   * for the retries that it has sent.
   */
  static String encodeDeparture(SharedSuspects suspects) {
    ObjectNode node = JSON.createObjectNode();
    node.put("left", true);
    putSuspects(node, suspects);
    return node.toString();
  }

  private static void putSuspects(ObjectNode node, SharedSuspects suspects) {
    PartReportJson.put(node, "parts", suspects.suspectReports());
  }

  /** Parses the row of an entry; empty if it is unreadable. */
  static Optional<Members.Row> parseMember(StoreVersion version, String text) {
    try {
      JsonNode node = JsonFields.parseObject(text);
      Optional<InetSocketAddress> address =
          JsonFields.flag(node, "left") ? Optional.empty() : Optional.of(address(node));
      Map<String, PartReport> suspects = PartReportJson.read(node, "parts");
      return Optional.of(new Members.Row(version, address, suspects));
    } catch (UnusableJsonException e) {
      return Optional.empty();
    }
  }

  private static InetSocketAddress address(JsonNode node) throws UnusableJsonException {
    String host = JsonFields.text(node, "host");
    long port = JsonFields.number(node.path("port"), "port", 1, NumericAddress.MAX_PORT);
    return NumericAddress.of(host, port)
        .orElseThrow(() -> new UnusableJsonException("host is not an IP address"));
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

  /** Parses the lease row; empty if it is unreadable. */
  static Optional<LeaseRow> parseLease(String text) {
    try {
      JsonNode node = JsonFields.parseObject(text);
      return Optional.of(
          new LeaseRow(
              JsonFields.text(node, "duty"),
              JsonFields.text(node, "holder"),
              JsonFields.number(node.path("epoch"), "epoch", 0, JsonFields.MAX_EXACT),
              JsonFields.number(node.path("durationMillis"), "durationMillis", 0, MAX_LEASE_MILLIS),
              JsonFields.text(node, "token")));
    } catch (UnusableJsonException e) {
      return Optional.empty();
    }
  }

  static String encodeUsage(boolean closed, Map<String, Long> counts) {
    ObjectNode node = JSON.createObjectNode();
    node.put("closed", closed);
    putCounts(node, counts);
    return node.toString();
  }

  /** Parses usage counts; empty if their row is unreadable. */
  static Optional<UsageRow> parseUsage(String key, String text) {
    Matcher parts = USAGE_KEY.matcher(key);
    if (!parts.matches()) {
      return Optional.empty();
    }
    try {
      JsonNode node = JsonFields.parseObject(text);
      long window = Long.parseLong(parts.group(1));
      boolean closed = JsonFields.flag(node, "closed");
      return Optional.of(new UsageRow(window, parts.group(2), closed, counts(node)));
    } catch (UnusableJsonException e) {
      return Optional.empty();
    }
  }

  static String encodeReport(ReportRow row) {
    ObjectNode node = JSON.createObjectNode();
    node.put("taken", row.accepted());
    node.put("era", row.era());
    putCounts(node, row.counts());
    return node.toString();
  }

  /** Parses a sealed report; empty if its row is unreadable. */
  static Optional<ReportRow> parseReport(String key, String text) {
    Matcher parts = REPORT_KEY.matcher(key);
    if (!parts.matches()) {
      return Optional.empty();
    }
    try {
      JsonNode node = JsonFields.parseObject(text);
      long window = Long.parseLong(parts.group(1));
      long era = JsonFields.number(node, "era", 0, 0, JsonFields.MAX_EXACT);
      return Optional.of(new ReportRow(window, JsonFields.flag(node, "taken"), counts(node), era));
    } catch (UnusableJsonException e) {
      return Optional.empty();
    }
  }

  private static void putCounts(ObjectNode node, Map<String, Long> counts) {
    ObjectNode inner = node.putObject("counts");
    new TreeMap<>(counts).forEach(inner::put);
  }

  private static Map<String, Long> counts(JsonNode node) throws UnusableJsonException {
    Map<String, Long> counts = new TreeMap<>();
    for (Map.Entry<String, JsonNode> each : JsonFields.object(node, "counts").properties()) {
      long count = JsonFields.number(each.getValue(), "a count", 0, JsonFields.MAX_EXACT);
      counts.put(each.getKey(), count);
    }
    return counts;
  }
}
