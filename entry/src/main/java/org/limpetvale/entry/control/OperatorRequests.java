package org.limpetvale.entry.control;

import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.config.JsonCodec;
import org.limpetvale.core.result.ExecutionStatus;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.Result;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.entry.upstream.VmDirectory;
import org.limpetvale.ports.PowerControl;
import org.limpetvale.ports.ReadResult;
import org.limpetvale.ports.Row;
import org.limpetvale.ports.Table;
import org.limpetvale.ports.Transaction;
import org.limpetvale.ports.TransactionRunner;
import org.limpetvale.ports.Vm;

/** Accepts operator requests for upstreams; the holder of the zone's lease executes them. */
public final class OperatorRequests {
  private static final long COMMIT_TIMEOUT_MILLIS = 3000;

  private final VmDirectory directory;
  private final PowerControl power;
  private final Table table;
  private final TransactionRunner commits;

  /** Creates a writer of operator requests. */
  public OperatorRequests(
      VmDirectory directory, PowerControl power, Table table, TransactionRunner commits) {
    this.directory = Objects.requireNonNull(directory, "directory is null");
    this.power = Objects.requireNonNull(power, "power is null");
    this.table = Objects.requireNonNull(table, "table is null");
    this.commits = Objects.requireNonNull(commits, "commits is null");
  }

  /** Stores an operator request in the table. */
  public Result<OperatorRequest> put(String vm, OperatorRequest.Action action, String author) {
    Optional<String> zone = zoneOf(vm);
    if (zone.isEmpty()) {
      return Result.err(ResultCode.FIELD_INVALID, "no upstream VM is called " + vm);
    }
    OperatorRequest request = new OperatorRequest(vm, zone.get(), action, author);
    String key = OperatorRequest.key(zone.get(), vm);
    if (!(table.get(key) instanceof ReadResult.Success<Optional<Row>>(Optional<Row> row))) {
      return Result.err(ResultCode.TABLE_UNAVAILABLE, "the table does not answer");
    }
    String value = JsonCodec.write(request);
    TransactionRunner.Outcome outcome =
        commits.commit(
            Transaction.put(key, row.map(Row::revision).orElse(0L), value),
            key,
            value::equals,
            COMMIT_TIMEOUT_MILLIS);
    return switch (outcome) {
      case TransactionRunner.Outcome.Applied ignored -> Result.ok(request);
      case TransactionRunner.Outcome.Conflict() ->
          Result.err(ResultCode.ORDER_BLOCKED, "another operator changed it at the same time");
      case TransactionRunner.Outcome.NotApplied(String detail) ->
          Result.err(ResultCode.TABLE_UNAVAILABLE, detail);
      case TransactionRunner.Outcome.Unresolved(String detail) ->
          Result.err(
              Refusal.of(ResultCode.TABLE_UNAVAILABLE, detail)
                  .withExecutionStatus(ExecutionStatus.MAY_HAVE_RUN));
    };
  }

  /**
   * Returns the zone of a VM from the VM list or, if the VM is not running, from the power
   * interface.
   */
  private Optional<String> zoneOf(String vm) {
    Optional<String> listed =
        directory.all().stream()
            .filter(each -> each.name().equals(vm) && each.role() != Vm.Role.ENTRY)
            .map(Vm::zone)
            .findFirst();
    return listed.or(
        () ->
            directory.all().stream()
                .map(Vm::zone)
                .distinct()
                .filter(zone -> hasUnit(zone, vm))
                .findFirst());
  }

  private boolean hasUnit(String zone, String vm) {
    return power
        .upstreams(zone)
        .toOptional()
        .map(units -> units.stream().anyMatch(each -> each.vm().equals(vm)))
        .orElse(false);
  }
}
