package org.limpetvale.sidecar;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotNull;
import java.util.List;

/**
 * The upstream beside this process.
 *
 * @param kind what the upstream is
 * @param url its address
 * @param models models that it serves when it starts; for a model engine
 * @param service name of the service; for a plain service
 * @param capacity requests that run at the same time
 * @param queueLimit requests that wait at the same time
 * @param expectedServiceMillis service time assumed at first, in milliseconds
 * @param tokenGapLimitMillis gap between tokens after which a stream counts as silent, in
 *     milliseconds
 * @param callLimitMillis time limit of a call of a plain service, in milliseconds
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

  /** What an upstream is. */
  public enum Kind {
    MODEL,
    SERVICE
  }
}
