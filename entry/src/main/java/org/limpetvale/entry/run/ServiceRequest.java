package org.limpetvale.entry.run;

import java.util.List;
import java.util.Objects;
import org.limpetvale.core.config.RequestClass;
import org.limpetvale.entry.authenticate.Caller;
import org.limpetvale.wire.Header;

/**
 * A validated call of a plain service.
 *
 * @param requestId id of the request
 * @param caller the caller that sent the request
 * @param className name of its request class
 * @param level service level of the request class
 * @param service the service
 * @param method HTTP method
 * @param path path and query, relative to the service
 * @param headers headers to forward; none contains a key
 * @param body the request body
 * @param repeatable whether the call is safe to run more than once
 */
public record ServiceRequest(
    String requestId,
    Caller caller,
    String className,
    RequestClass level,
    String service,
    String method,
    String path,
    List<Header> headers,
    byte[] body,
    boolean repeatable) {
  public ServiceRequest {
    Objects.requireNonNull(requestId, "requestId is null");
    Objects.requireNonNull(caller, "caller is null");
    Objects.requireNonNull(level, "level is null");
    Objects.requireNonNull(service, "service is null");
    headers = List.copyOf(headers);
    Objects.requireNonNull(body, "body is null");
  }
}
