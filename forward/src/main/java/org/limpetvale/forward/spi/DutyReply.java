package org.limpetvale.forward.spi;

/** The outcome of a {@link DutyClient} call. */
public sealed interface DutyReply {
  /** The platform accepted the call. */
  record Taken() implements DutyReply {}

  /** The platform rejected the call, which had no effect. */
  record Refused(int status) implements DutyReply {}

  /** There was no response; the call may have taken effect. */
  record Unknown(String detail) implements DutyReply {}
}
