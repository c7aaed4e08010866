package org.limpetvale.forward.spi;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.fleet.Workspace;

/** The header names that callers and upstreams speak. */
public interface HeaderCodec {
  /** Decodes the header of a request. */
  RequestHead decodeRequest(HttpHeaders headers);

  /** Decodes the header of an answer. */
  ResponseHead decodeResponse(int status, HttpHeaders headers);

  /**
   * Writes the headers that the system sets on a request to an upstream, over those of the caller.
   *
   * @param headers headers of the caller without those of its connection; changed in place
   * @param grant what the upstream is told
   */
  void encodeRequest(HttpHeaders headers, RequestMetadata grant);

  /**
   * What an upstream is told of a request.
   *
   * @param upstream the upstream that is meant
   * @param workspace workspace that the request runs for, if it has one
   * @param remainingMillis time that is left
   * @param priority priority, 0 the highest; empty for the upstream's default
   * @param lastEventId id of the last event that was passed on, to go on after it
   */
  record RequestMetadata(
      Upstream upstream,
      Optional<Workspace> workspace,
      long remainingMillis,
      Optional<Integer> priority,
      Optional<String> lastEventId) {}
}
