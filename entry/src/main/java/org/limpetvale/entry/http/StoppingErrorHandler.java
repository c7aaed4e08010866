package org.limpetvale.entry.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.daemon.Ids;

/**
 * Refuses the requests that the web server itself turns away with 503 because it is stopping. They
 * have not reached the application, so they have not run.
 */
public final class StoppingErrorHandler extends ErrorHandler {
  @Override
  protected void generateResponse(
      Request request,
      Response response,
      int code,
      String message,
      Throwable cause,
      Callback callback)
      throws IOException {
    if (code != HttpStatus.SERVICE_UNAVAILABLE_503) {
      super.generateResponse(request, response, code, message, cause, callback);
      return;
    }
    Refusal refusal = DrainFilter.refusal();
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, ProblemResponses.MEDIA_TYPE);
    response.getHeaders().put(HttpHeader.RETRY_AFTER, ProblemResponses.retryAfterSeconds(refusal));
    response.getHeaders().put(HttpHeader.CONNECTION, "close");
    String body = ProblemResponses.body(refusal, Ids.next()).toString();
    response.write(true, StandardCharsets.UTF_8.encode(body), callback);
  }
}
