package org.limpetvale.forward.relay;

import java.util.List;
import java.util.Objects;

/**
 * A response that was read while a request was in progress and was not taken for its response.
 *
 * @param status status code
 * @param ids the request ids that it names, in order
 * @param reason why it was not taken
 */
record DiscardedResponse(int status, List<String> ids, String reason) {
  DiscardedResponse {
    ids = List.copyOf(ids);
    Objects.requireNonNull(reason, "reason is null");
  }
}
