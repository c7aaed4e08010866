package org.limpetvale.core.result;

/** Tells whether a request reached its upstream. */
public enum ExecutionStatus {
  /** The upstream did not receive the request. */
  NOT_RUN("not_run"),
  /** It is not known whether the upstream ran the request. */
  MAY_HAVE_RUN("may_have_run"),
  /** The upstream ran the request, at least in part. */
  RAN("ran");

  private final String text;

  ExecutionStatus(String text) {
    this.text = text;
  }

  /** Returns the word used in answers to callers. */
  public String text() {
    return text;
  }
}
