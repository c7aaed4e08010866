package org.limpetvale.forward.relay;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The requests that a connection has carried, one after the other. It alone decides to which of
 * them a response belongs, and whether the connection may carry another one.
 *
 * <p>A response belongs to the request whose id it names. One that names no id belongs to the only
 * request that the connection has carried, if there is only one. Everything else is unattributable.
 *
 * <p>A connection carries another request only as long as each of its requests was answered once,
 * with a success that names its id. A response that nobody asked for may be followed by others; an
 * upstream that has failed or refused a request may write the failure again, at times without an
 * id; and the length of a response depends on whether it answers a HEAD request.
 */
final class CarriedRequests {
  /** Requests after which the connection is given up, which bounds the ids remembered. */
  private static final int MAX_REQUESTS = 256;

  /** Hashes of the ids of the requests before the current one. */
  private final Set<Integer> earlierIdHashes = new HashSet<>();

  private String currentId = "";
  private int count;
  private boolean mayCarryAnother = true;

  /** Adds the next request, whose response is expected now. */
  void add(HttpRequest request, String requestId) {
    if (count > 0) {
      earlierIdHashes.add(currentId.hashCode());
    }
    currentId = requestId;
    count++;
    if (request.method().equals(HttpMethod.HEAD)) {
      mayCarryAnother = false;
    }
  }

  /** Returns the number of requests. */
  int count() {
    return count;
  }

  /** Returns whether the response to a further request can be told from all others. */
  boolean canAdd(HttpMethod method, String requestId) {
    return mayCarryAnother
        && count < MAX_REQUESTS
        && !(count > 0 && method.equals(HttpMethod.HEAD))
        && !requestId.isEmpty()
        && !requestId.equals(currentId)
        && !earlierIdHashes.contains(requestId.hashCode());
  }

  /** Returns whether the connection may carry another request after the current one. */
  boolean mayCarryAnother() {
    return mayCarryAnother && count < MAX_REQUESTS;
  }

  /**
   * Decides to which request a response belongs.
   *
   * @param requestIds the ids that it names
   */
  Attribution attribute(HttpResponse response, List<String> requestIds) {
    if (StatusCode.of(response).isInterim()) {
      return new Attribution.Interim();
    }
    Attribution attribution = attributeFinal(response, requestIds);
    boolean identified = attribution instanceof Attribution.Current(boolean named) && named;
    mayCarryAnother &= identified && StatusCode.of(response).isSuccess();
    return attribution;
  }

  private Attribution attributeFinal(HttpResponse response, List<String> requestIds) {
    if (!isProtocolSpoken(response)) {
      return new Attribution.Unattributable("another protocol");
    }
    return switch (requestIds.size()) {
      case 0 -> attributeUnnamed();
      case 1 -> attribute(requestIds.getFirst());
      // The same id twice shows two heads read as one, the first of which was cut.
      default -> new Attribution.Unattributable("more than one id");
    };
  }

  private Attribution attributeUnnamed() {
    return count == 1
        ? new Attribution.Current(false)
        : new Attribution.Unattributable("no id, on a connection with earlier requests");
  }

  private Attribution attribute(String id) {
    if (id.isEmpty()) {
      return attributeUnnamed();
    }
    if (id.equals(currentId)) {
      return new Attribution.Current(true);
    }
    return earlierIdHashes.contains(id.hashCode())
        ? new Attribution.Earlier()
        : new Attribution.Unattributable("an id that the connection has not carried");
  }

  private static boolean isProtocolSpoken(HttpResponse response) {
    HttpVersion version = response.protocolVersion();
    return (version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0))
        && !StatusCode.of(response).equals(StatusCode.SWITCHING_PROTOCOLS);
  }
}
