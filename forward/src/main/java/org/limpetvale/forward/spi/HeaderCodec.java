package org.limpetvale.forward.spi;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.limpetvale.core.fleet.Upstream;
import org.limpetvale.core.fleet.Workspace;

/** Decodes and encodes the HTTP headers that callers and upstreams use. */
public interface HeaderCodec {
  /** Decodes the headers of a caller's request. */
  RequestHead decodeRequest(HttpHeaders headers);

  /** Decodes the status and headers of an upstream's response. */
  ResponseHead decodeResponse(int status, HttpHeaders headers);

  /**
   * Sets the router's own headers on a request to an upstream. They replace any that the caller has
   * sent.
   *
   * @param headers headers of the caller without its connection headers; modified in place
   * @param metadata values to encode
   */
  void encodeRequest(HttpHeaders headers, RequestMetadata metadata);

  /**
   * The values that the router sends to an upstream with a request.
   *
   * @param upstream the upstream that the request is meant for
   * @param workspace workspace of the request, if it has one
   * @param remainingMillis time that is left until the request's deadline
   * @param priority priority of the request, where 0 is the highest; empty for the upstream's
   *     default
   * @param lastEventId id of the last event that was forwarded, after which the stream resumes
   */
  record RequestMetadata(
      Upstream upstream,
      Optional<Workspace> workspace,
      long remainingMillis,
      Optional<Integer> priority,
      Optional<String> lastEventId) {}
}
