package org.limpetvale.entry.usage;

import java.util.List;
import java.util.Locale;
import org.limpetvale.core.usage.UsageBatch;

/** Keys and rows of usage in the table. */
final class UsageRows {
  static final String WINDOWS = "usage/window/";
  static final String BATCHES = "usage/batch/";

  private UsageRows() {}

  /**
   * A batch with the records that are in it.
   *
   * @param batch the sums
   * @param recordIds tokens of the records
   */
  record BatchRow(UsageBatch batch, List<String> recordIds) {}

  /**
   * A writer of batches.
   *
   * @param entryId the process
   * @param closed whether a recovery has closed it
   */
  record WriterRow(String entryId, boolean closed) {}

  static String window(long window) {
    return WINDOWS + number(window);
  }

  static String batches(long window) {
    return BATCHES + number(window) + "/";
  }

  static String batch(long window, String writerId, String batchId) {
    return batches(window) + writerId + "/" + batchId;
  }

  static String writer(String writerId) {
    return "usage/writer/" + writerId;
  }

  private static String number(long window) {
    return String.format(Locale.ROOT, "%015d", window);
  }
}
