package org.limpetvale.daemon;

import jakarta.validation.Valid;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;
import java.util.Optional;

/**
 * Settings of the gRPC server of a process.
 *
 * @param host address to listen on
 * @param port port to listen on
 * @param tls certificates for mutual TLS; empty for plain text
 */
public record GrpcSettings(
    @NotBlank String host, @Min(1) @Max(65535) int port, Optional<@Valid TlsSettings> tls) {
  public GrpcSettings {
    tls = tls == null ? Optional.empty() : tls;
  }
}
