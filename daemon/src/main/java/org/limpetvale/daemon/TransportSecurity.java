package org.limpetvale.daemon;

import io.grpc.ChannelCredentials;
import io.grpc.InsecureChannelCredentials;
import io.grpc.InsecureServerCredentials;
import io.grpc.ServerCredentials;
import io.grpc.TlsChannelCredentials;
import io.grpc.TlsServerCredentials;
import io.grpc.util.AdvancedTlsX509KeyManager;
import io.grpc.util.AdvancedTlsX509TrustManager;
import java.io.File;
import java.io.IOException;
import java.security.GeneralSecurityException;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** gRPC credentials between processes: mutual TLS, or plain text if no certificates are set. */
public final class TransportSecurity {
  private static final long RELOAD_PERIOD_SECONDS = 5;

  private final ServerCredentials serverCredentials;
  private final ChannelCredentials channelCredentials;

  private TransportSecurity(ServerCredentials server, ChannelCredentials channel) {
    this.serverCredentials = server;
    this.channelCredentials = channel;
  }

  /**
   * Returns the credentials for the given settings.
   *
   * @param settings certificates; empty for plain text
   * @throws IllegalArgumentException if a file cannot be read or holds no certificate or key
   */
  public static TransportSecurity of(Optional<TlsSettings> settings) {
    return settings.map(TransportSecurity::mutualTls).orElseGet(TransportSecurity::plainText);
  }

  /** Returns the credentials for servers. */
  public ServerCredentials serverCredentials() {
    return serverCredentials;
  }

  /** Returns the credentials for channels. */
  public ChannelCredentials channelCredentials() {
    return channelCredentials;
  }

  private static TransportSecurity plainText() {
    return new TransportSecurity(
        InsecureServerCredentials.create(), InsecureChannelCredentials.create());
  }

  private static TransportSecurity mutualTls(TlsSettings settings) {
    ScheduledExecutorService reloader =
        Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("certificates").factory());
    try {
      AdvancedTlsX509KeyManager keyManager = new AdvancedTlsX509KeyManager();
      keyManager.updateIdentityCredentials(
          new File(settings.certificateFile()),
          new File(settings.keyFile()),
          RELOAD_PERIOD_SECONDS,
          TimeUnit.SECONDS,
          reloader);
      // Verifies only the certificate chain, not host names: VMs come and go, and they are
      // addressed by IP address.
      AdvancedTlsX509TrustManager trustManager =
          AdvancedTlsX509TrustManager.newBuilder()
              .setVerification(
                  AdvancedTlsX509TrustManager.Verification.CERTIFICATE_ONLY_VERIFICATION)
              .build();
      trustManager.updateTrustCredentials(
          new File(settings.authorityFile()), RELOAD_PERIOD_SECONDS, TimeUnit.SECONDS, reloader);
      return new TransportSecurity(
          TlsServerCredentials.newBuilder()
              .keyManager(keyManager)
              .trustManager(trustManager)
              .clientAuth(TlsServerCredentials.ClientAuth.REQUIRE)
              .build(),
          TlsChannelCredentials.newBuilder()
              .keyManager(keyManager)
              .trustManager(trustManager)
              .build());
    } catch (IOException | GeneralSecurityException e) {
      throw new IllegalArgumentException("grpc.tls: " + e.getMessage(), e);
    }
  }
}
