package org.limpetvale.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.dropwizard.core.Configuration;
import jakarta.validation.Valid;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Size;
import java.util.List;
import org.limpetvale.daemon.GrpcSettings;
import org.limpetvale.daemon.Identity;
import org.limpetvale.daemon.PlatformSettings;

/** Settings of an entry. */
public final class EntrySettings extends Configuration {
  private static final int MIN_SECRET_LENGTH = 16;

  @JsonProperty @Valid @NotNull private Identity identity;
  @JsonProperty @Valid @NotNull private GrpcSettings grpc;
  @JsonProperty @Valid @NotNull private PlatformSettings platform;

  @JsonProperty
  @NotNull
  @Size(min = MIN_SECRET_LENGTH)
  private String keyDigestSecret;

  @JsonProperty @NotNull private List<String> operatorKeyDigests;
  @JsonProperty @Valid @NotNull private RoutingSettings routing = RoutingSettings.standard();
  @JsonProperty @Valid @NotNull private ControlSettings control = ControlSettings.standard();

  @JsonProperty
  @Min(0)
  @Max(600_000)
  private long shutdownGraceMillis = 30_000;

  /** Returns the time that open requests have to finish during a shutdown, in milliseconds. */
  public long shutdownGraceMillis() {
    return shutdownGraceMillis;
  }

  /** Returns the identity of this process. */
  public Identity identity() {
    return identity;
  }

  /** Returns the settings of the gRPC server for other entries. */
  public GrpcSettings grpc() {
    return grpc;
  }

  /** Returns the addresses of the platform's services. */
  public PlatformSettings platform() {
    return platform;
  }

  /** Returns the secret for keyed digests, shared by all entries. */
  public String keyDigestSecret() {
    return keyDigestSecret;
  }

  /** Returns the keyed digests of the operators' keys. */
  public List<String> operatorKeyDigests() {
    return operatorKeyDigests;
  }

  /** Returns the routing settings. */
  public RoutingSettings routing() {
    return routing;
  }

  /** Returns the settings of the control duties. */
  public ControlSettings control() {
    return control;
  }
}
