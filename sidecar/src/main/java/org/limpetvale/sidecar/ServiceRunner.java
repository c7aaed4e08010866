package org.limpetvale.sidecar;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.util.Objects;
import java.util.Set;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.wire.Header;
import org.limpetvale.wire.ServiceAnswer;
import org.limpetvale.wire.ServiceCall;

/** Runs attempts against a plain service. */
final class ServiceRunner implements UpstreamRunner {
  private static final Set<String> UNFORWARDED_HEADERS =
      Set.of("connection", "transfer-encoding", "content-length", "keep-alive", "date");

  private final UpstreamHttpClient http;
  private final UpstreamState upstream;

  ServiceRunner(UpstreamHttpClient http, UpstreamState upstream) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.upstream = Objects.requireNonNull(upstream, "upstream is null");
  }

  @Override
  public Usage run(Attempt attempt) {
    ServiceCall call = attempt.open().getServiceCall();
    HttpUriRequestBase request =
        new HttpUriRequestBase(call.getMethod(), URI.create(http.url(call.getPath())));
    call.getHeadersList().forEach(each -> request.addHeader(each.getName(), each.getValue()));
    if (!call.getBody().isEmpty()) {
      request.setEntity(new ByteArrayEntity(call.getBody().toByteArray(), contentType(call)));
    }
    if (attempt.open().getRepeatable()) {
      attempt.onAbort(request::cancel);
    }
    try {
      ServiceAnswer answer = http.client().execute(request, this::answer);
      attempt.serviceAnswer(answer);
      attempt.finished(0, 0, 0, "answered");
    } catch (ConnectException e) {
      upstream.markDown();
      attempt.failed(ResultCode.UPSTREAM_CRASHED, "the service refused the connection", true);
    } catch (SocketTimeoutException e) {
      attempt.failed(ResultCode.UPSTREAM_SILENT, "no answer within the limit", false);
    } catch (IOException e) {
      String detail = e.getClass().getSimpleName() + ": " + e.getMessage();
      upstream.markDown();
      if (upstream.checkHealth()) {
        attempt.failed(ResultCode.CONNECTION_LOST, detail, false);
      } else {
        attempt.crashed(detail, 1);
      }
    }
    return new Usage(1);
  }

  /**
   * Checks that a body whose end only the close of the connection marks was not ended by a crash of
   * the service.
   */
  private void checkEnd(HttpEntity body) throws ConnectionClosedException {
    boolean framed = body.isChunked() || body.getContentLength() >= 0;
    if (!framed && !upstream.checkHealth()) {
      throw new ConnectionClosedException("the service is down after an answer without a length");
    }
  }

  private static ContentType contentType(ServiceCall call) {
    return call.getHeadersList().stream()
        .filter(each -> each.getName().equalsIgnoreCase("content-type"))
        .findFirst()
        .map(each -> ContentType.parseLenient(each.getValue()))
        .orElse(ContentType.APPLICATION_OCTET_STREAM);
  }

  private ServiceAnswer answer(ClassicHttpResponse response) throws IOException {
    ServiceAnswer.Builder answer = ServiceAnswer.newBuilder().setStatus(response.getCode());
    for (org.apache.hc.core5.http.Header each : response.getHeaders()) {
      if (!UNFORWARDED_HEADERS.contains(each.getName().toLowerCase(java.util.Locale.ROOT))) {
        answer.addHeaders(Header.newBuilder().setName(each.getName()).setValue(each.getValue()));
      }
    }
    if (response.getEntity() != null) {
      answer.setBody(ByteString.copyFrom(EntityUtils.toByteArray(response.getEntity())));
      checkEnd(response.getEntity());
    }
    return answer.build();
  }
}
