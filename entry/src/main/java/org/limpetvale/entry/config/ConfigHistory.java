package org.limpetvale.entry.config;

import java.util.List;
import java.util.Objects;
import org.limpetvale.core.config.ChangeRecord;
import org.limpetvale.core.config.JsonCodec;
import org.limpetvale.core.result.Result;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.ports.ReadResult;
import org.limpetvale.ports.Row;
import org.limpetvale.ports.Table;

/** Reads the history of accepted configuration changes from the table. */
public final class ConfigHistory {
  private static final int PAGE_SIZE = 200;

  private final Table table;

  /** Creates a history that reads from a table. */
  public ConfigHistory(Table table) {
    this.table = Objects.requireNonNull(table, "table is null");
  }

  /** Returns up to 200 changes after a version. */
  public Result<List<ChangeRecord>> after(long version) {
    ReadResult<List<Row>> read =
        table.scan(ConfigRows.CHANGES, ConfigRows.changeKey(version), PAGE_SIZE);
    return switch (read) {
      case ReadResult.Success<List<Row>>(List<Row> rows) ->
          Result.ok(
              rows.stream()
                  .map(row -> JsonCodec.readStored(row.value(), ChangeRecord.class))
                  .toList());
      case ReadResult.Unavailable<List<Row>>(String detail) ->
          Result.err(ResultCode.TABLE_UNAVAILABLE, detail);
    };
  }
}
