package org.limpetvale.forward.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.limpetvale.core.crash.PartCrash;
import org.limpetvale.core.crash.PartReport;

/**
 * Writes and reads reports of suspected prompt parts.
 *
 * <p>A report is a list: the part's depth, the number of its last answer, and the crashes as texts
 * of the form {@code process.request.lost}, with a plus sign behind if the request was sent after a
 * loss. The form is short because every peer report repeats it.
 */
public final class PartReportJson {
  private static final int MAX_DEPTH = 100_000;
  private static final int CRASHES_FROM = 2;
  private static final Pattern CRASH =
      Pattern.compile("(\\w{1,20})\\.(\\w{1,20})\\.(\\d{1,6})(\\+?)");

  private PartReportJson() {}

  /** Adds reports to an object under a name, unless there are none. */
  public static void put(ObjectNode object, String name, Map<String, PartReport> reports) {
    if (reports.isEmpty()) {
      return;
    }
    ObjectNode parts = object.putObject(name);
    reports.forEach(
        (part, report) -> {
          ArrayNode values = parts.putArray(part).add(report.depth()).add(report.served());
          report.crashes().forEach(crash -> values.add(text(crash)));
        });
  }

  private static String text(PartCrash crash) {
    return String.join(
        ".", crash.process(), crash.request(), crash.lostRequests() + mark(crash.sentAfterLoss()));
  }

  private static String mark(boolean sentAfterLoss) {
    return sentAfterLoss ? "+" : "";
  }

  /** Reads the reports that an object has under a name; none if it has no such field. */
  public static Map<String, PartReport> read(JsonNode object, String name)
      throws UnusableJsonException {
    Map<String, PartReport> reports = new HashMap<>();
    for (Map.Entry<String, JsonNode> each : JsonFields.object(object, name).properties()) {
      reports.put(each.getKey(), report(each.getValue(), name));
    }
    return reports;
  }

  private static PartReport report(JsonNode values, String name) throws UnusableJsonException {
    long depth = JsonFields.number(values.path(0), name, 0, MAX_DEPTH);
    long served = JsonFields.number(values.path(1), name, PartReport.UNKNOWN, JsonFields.MAX_EXACT);
    List<PartCrash> crashes = new ArrayList<>();
    for (int i = CRASHES_FROM; i < values.size(); i++) {
      crashes.add(crash(JsonFields.element(values.path(i), name)));
    }
    return new PartReport((int) depth, served, crashes);
  }

  private static PartCrash crash(String text) throws UnusableJsonException {
    Matcher fields = CRASH.matcher(text);
    if (!fields.matches()) {
      throw new UnusableJsonException("a crash is not of the form process.request.lost");
    }
    int lostRequests = Integer.parseInt(fields.group(3));
    boolean sentAfterLoss = !fields.group(4).isEmpty();
    return new PartCrash(fields.group(1), fields.group(2), lostRequests, sentAfterLoss);
  }
}
