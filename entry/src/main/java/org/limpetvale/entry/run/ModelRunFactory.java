package org.limpetvale.entry.run;

import java.util.Objects;
import org.limpetvale.entry.account.Accounting;
import org.limpetvale.entry.claim.SuspectRegistry;
import org.limpetvale.entry.route.AnswerLengthEstimator;
import org.limpetvale.entry.route.Dispatcher;
import org.limpetvale.entry.route.TokenBudgets;

/** Starts model requests with what an entry's requests share. */
public final class ModelRunFactory {
  private final Dispatcher dispatcher;
  private final SuspectRegistry suspects;
  private final AnswerLengthEstimator lengths;
  private final TokenBudgets budgets;
  private final Accounting accounting;

  /** Creates the starter of one entry. */
  public ModelRunFactory(
      Dispatcher dispatcher,
      SuspectRegistry suspects,
      AnswerLengthEstimator lengths,
      TokenBudgets budgets,
      Accounting accounting) {
    this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher is null");
    this.suspects = Objects.requireNonNull(suspects, "suspects is null");
    this.lengths = Objects.requireNonNull(lengths, "lengths is null");
    this.budgets = Objects.requireNonNull(budgets, "budgets is null");
    this.accounting = Objects.requireNonNull(accounting, "accounting is null");
  }

  /** Starts a request. */
  public ModelRun start(ModelRequest request) {
    long estimate =
        lengths.estimateTokens(
            request.caller().workspace(),
            request.className(),
            request.body().length,
            request.maxTokens());
    boolean overBudget = budgets.chargeExceedsBudget(request.caller().parameters(), estimate);
    return new ModelRun(request, dispatcher, suspects, estimate, overBudget);
  }

  /** Returns the accounting of the entry. */
  public Accounting accounting() {
    return accounting;
  }

  /** Returns the dispatcher of the entry. */
  public Dispatcher dispatcher() {
    return dispatcher;
  }
}
