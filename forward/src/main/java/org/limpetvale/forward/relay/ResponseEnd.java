package org.limpetvale.forward.relay;

/** How the end of a response's body was recognized. */
enum ResponseEnd {
  /** By its length, its last chunk, or a status that has no body. */
  FRAMED,
  /** Only by the upstream, which closed the connection in order. */
  CLOSED_BY_UPSTREAM,
  /** Only by the end of the connection, which the upstream did not close in order. */
  CONNECTION_ENDED
}
