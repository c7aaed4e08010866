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

/** Credentials between the processes of the system: mutual TLS, or plain text when none is set. */
public final class TransportSecurity {
  private static final long RELOAD_PERIOD_SECONDS = 5;

  private final ServerCredentials serverCredentials;
  private final ChannelCredentials channelCredentials;

  private TransportSecurity(ServerCredentials server, ChannelCredentials channel) {
    this.serverCredentials = server;
    this.channelCredentials = channel;
  }

  /**
   * Returns the credentials for some settings.
   *
   * @param settings certificates; empty for plain text
   * @throws IllegalArgumentException when a file cannot be read or holds no certificate or key
   */
  public static TransportSecurity of(Optional<TlsSettings> settings) {
    return settings.map(TransportSecurity::mutualTls).orElseGet(TransportSecurity::plainText);
  }

  /** Returns what a server asks of its callers. */
  public ServerCredentials serverCredentials() {
    return serverCredentials;
  }

  /** Returns what a caller shows to servers. */
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
      AdvancedTlsX509KeyManager keys = new AdvancedTlsX509KeyManager();
      keys.updateIdentityCredentials(
          new File(settings.certificateFile()),
          new File(settings.keyFile()),
          RELOAD_PERIOD_SECONDS,
          TimeUnit.SECONDS,
          reloader);
      // Peers are known by their authority: VMs come and go, and their addresses are IP numbers.
      AdvancedTlsX509TrustManager trust =
          AdvancedTlsX509TrustManager.newBuilder()
              .setVerification(
                  AdvancedTlsX509TrustManager.Verification.CERTIFICATE_ONLY_VERIFICATION)
              .build();
      trust.updateTrustCredentials(
          new File(settings.authorityFile()), RELOAD_PERIOD_SECONDS, TimeUnit.SECONDS, reloader);
      return new TransportSecurity(
          TlsServerCredentials.newBuilder()
              .keyManager(keys)
              .trustManager(trust)
              .clientAuth(TlsServerCredentials.ClientAuth.REQUIRE)
              .build(),
          TlsChannelCredentials.newBuilder().keyManager(keys).trustManager(trust).build());
    } catch (IOException | GeneralSecurityException e) {
      throw new IllegalArgumentException("grpc.tls: " + e.getMessage(), e);
    }
  }
}
