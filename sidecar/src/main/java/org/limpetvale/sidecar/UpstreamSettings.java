package org.limpetvale.sidecar;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotNull;
import java.util.List;

/**
 * Settings of the upstream of this sidecar.
 *
 * @param kind kind of the upstream
 * @param url base URL of the upstream
 * @param models models that a model engine serves at start; empty for a plain service
 * @param service name of a plain service; empty for a model engine
 * @param capacity maximum number of requests that run concurrently
 * @param queueLimit maximum number of requests that wait in the queue
 * @param expectedServiceMillis service time assumed before the first measurement, in milliseconds
 * @param tokenGapLimitMillis read timeout of a token stream, in milliseconds
 * @param callLimitMillis timeout of a call to a plain service, in milliseconds
 */
public record UpstreamSettings(
    @NotNull Kind kind,
    @NotBlank String url,
    @NotNull List<String> models,
    @NotNull String service,
    @Min(1) @Max(4096) int capacity,
    @Min(1) @Max(65_536) int queueLimit,
    @Min(1) @Max(600_000) long expectedServiceMillis,
    @Min(100) @Max(600_000) long tokenGapLimitMillis,
    @Min(100) @Max(600_000) long callLimitMillis) {

  /** Kind of an upstream: a model engine or a plain service. */
  public enum Kind {
    MODEL,
    SERVICE
  }
}
