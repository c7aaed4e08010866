package org.limpetvale.entry.run;

import java.util.Objects;
import org.limpetvale.entry.account.Accounting;
import org.limpetvale.entry.claim.SuspectRegistry;
import org.limpetvale.entry.route.AnswerLengthEstimator;
import org.limpetvale.entry.route.Dispatcher;
import org.limpetvale.entry.route.TokenBudgets;

/** Creates model runs from the components that all requests of an entry share. */
public final class ModelRunFactory {
  private final Dispatcher dispatcher;
  private final SuspectRegistry suspects;
  private final AnswerLengthEstimator lengthEstimator;
  private final TokenBudgets budgets;
  private final Accounting accounting;

  /** Creates the factory of one entry. */
  public ModelRunFactory(
      Dispatcher dispatcher,
      SuspectRegistry suspects,
      AnswerLengthEstimator lengthEstimator,
      TokenBudgets budgets,
      Accounting accounting) {
    this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher is null");
    this.suspects = Objects.requireNonNull(suspects, "suspects is null");
    this.lengthEstimator = Objects.requireNonNull(lengthEstimator, "lengthEstimator is null");
    this.budgets = Objects.requireNonNull(budgets, "budgets is null");
    this.accounting = Objects.requireNonNull(accounting, "accounting is null");
  }

  /** Charges the estimated tokens to the workspace and creates the run of a request. */
  public ModelRun start(ModelRequest request) {
    long estimate =
        lengthEstimator.estimateTokens(
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
