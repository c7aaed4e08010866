package org.limpetvale.core.result;

/** Whether a request reached its upstream and ran there. */
public enum ExecutionStatus {
  /** The upstream did not receive the request. */
  NOT_RUN("not_run"),
  /** Unknown whether the upstream ran the request. */
  MAY_HAVE_RUN("may_have_run"),
  /** The upstream ran the request, at least in part. */
  RAN("ran");

  private final String text;

  ExecutionStatus(String text) {
    this.text = text;
  }

  /** Returns the value used in answers to clients. */
  public String text() {
    return text;
  }
}
