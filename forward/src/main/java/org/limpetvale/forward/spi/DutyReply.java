package org.limpetvale.forward.spi;

/** The outcome of a call that is the duty of one entry at a time. */
public sealed interface DutyReply {
  /** The platform took it. */
  record Taken() implements DutyReply {}

  /** The platform refused it and did nothing. */
  record Refused(int status) implements DutyReply {}

  /** There was no answer; it may have been taken. */
  record Unknown(String detail) implements DutyReply {}
}
