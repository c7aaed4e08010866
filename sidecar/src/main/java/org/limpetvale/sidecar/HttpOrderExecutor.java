package org.limpetvale.sidecar;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.Objects;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.limpetvale.wire.OrderRequest;

/** Executes orders: loads models into the engine over HTTP, drains and undrains this sidecar. */
final class HttpOrderExecutor implements OrderFence.OrderExecutor {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK = 200;

  private final UpstreamHttpClient http;
  private final AdmissionController admission;
  private final SidecarState state;

  HttpOrderExecutor(UpstreamHttpClient http, AdmissionController admission, SidecarState state) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.admission = Objects.requireNonNull(admission, "admission is null");
    this.state = Objects.requireNonNull(state, "state is null");
  }

  @Override
  public boolean apply(OrderRequest request) {
    return switch (request.getOrderCase()) {
      case DRAIN -> {
        admission.drain();
        yield true;
      }
      case UNDRAIN -> {
        admission.undrain();
        yield true;
      }
      case LOAD_MODEL -> loadModel(request);
      case ORDER_NOT_SET -> false;
    };
  }

  private boolean loadModel(OrderRequest request) {
    String model = request.getLoadModel().getModel();
    HttpPost post = new HttpPost(http.url("/v1/models/load"));
    try {
      String body =
          MAPPER.writeValueAsString(new LoadOrder(model, request.getEpoch(), request.getOrderId()));
      post.setEntity(new StringEntity(body, ContentType.APPLICATION_JSON));
      boolean loaded =
          http.client()
              .execute(
                  post,
                  response -> {
                    EntityUtils.consume(response.getEntity());
                    return response.getCode() == OK;
                  });
      if (loaded) {
        state.addModel(model);
      }
      return loaded;
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("order cannot be written as JSON", e);
    } catch (IOException e) {
      logger.atWarning().log("loading model %s failed: %s", model, e.getMessage());
      return false;
    }
  }

  private record LoadOrder(String model, long epoch, String orderId) {}
}
