package org.limpetvale.sidecar;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.dropwizard.core.Configuration;
import io.dropwizard.validation.ValidationMethod;
import jakarta.validation.Valid;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import org.limpetvale.daemon.GrpcSettings;
import org.limpetvale.daemon.Identity;

/** Settings of a sidecar. */
public final class SidecarSettings extends Configuration {
  @JsonProperty @Valid @NotNull private Identity identity;
  @JsonProperty @Valid @NotNull private GrpcSettings grpc;
  @JsonProperty @Valid @NotNull private UpstreamSettings upstream;

  @JsonProperty
  @Min(0)
  @Max(600_000)
  private long shutdownGraceMillis = 30_000;

  /** Returns the VM and the availability zone of this process. */
  public Identity identity() {
    return identity;
  }

  /** Returns the address and the TLS settings that the sidecar listens with. */
  public GrpcSettings grpc() {
    return grpc;
  }

  /** Returns the settings of the upstream of this sidecar. */
  public UpstreamSettings upstream() {
    return upstream;
  }

  /** Returns how long a stopping sidecar waits for running requests, in milliseconds. */
  public long shutdownGraceMillis() {
    return shutdownGraceMillis;
  }

  /** Returns whether the kind of the upstream matches its models or service. */
  @ValidationMethod(
      message = "upstream: a MODEL needs models and no service, a SERVICE a service and no models")
  public boolean isUpstreamConsistent() {
    if (upstream == null
        || upstream.kind() == null
        || upstream.models() == null
        || upstream.service() == null) {
      return true;
    }
    boolean hasModels = !upstream.models().isEmpty();
    boolean hasService = !upstream.service().isEmpty();
    return upstream.kind() == UpstreamSettings.Kind.MODEL
        ? hasModels && !hasService
        : hasService && !hasModels;
  }
}
