package org.limpetvale.entry.usage;

import java.util.List;
import java.util.Locale;
import org.limpetvale.core.usage.UsageBatch;

/** Keys and rows of the usage data in the table. */
final class UsageRows {
  static final String WINDOW_PREFIX = "usage/window/";
  static final String BATCH_PREFIX = "usage/batch/";

  private UsageRows() {}

  /**
   * A batch and the records that it contains.
   *
   * @param batch the summed figures
   * @param recordIds ids of the records
   */
  record BatchRow(UsageBatch batch, List<String> recordIds) {}

  /**
   * A writer of batches.
   *
   * @param entryId id of the writing entry
   * @param closed whether a recovery has closed it
   */
  record WriterRow(String entryId, boolean closed) {}

  static String windowKey(long window) {
    return WINDOW_PREFIX + formatWindow(window);
  }

  static String batchPrefix(long window) {
    return BATCH_PREFIX + formatWindow(window) + "/";
  }

  static String batchKey(long window, String writerId, String batchId) {
    return batchPrefix(window) + writerId + "/" + batchId;
  }

  static String writerKey(String writerId) {
    return "usage/writer/" + writerId;
  }

  private static String formatWindow(long window) {
    return String.format(Locale.ROOT, "%015d", window);
  }
}
