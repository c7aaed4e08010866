package org.limpetvale.it;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.grpc.Grpc;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import io.grpc.TlsChannelCredentials;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.limpetvale.fakes.fleet.CertificateAuthority;
import org.limpetvale.fakes.fleet.Fleet;
import org.limpetvale.fakes.fleet.FleetPlan;
import org.limpetvale.wire.Drain;
import org.limpetvale.wire.OrderRequest;
import org.limpetvale.wire.SidecarServiceGrpc;

/** A sidecar accepts only clients with a certificate of the system's authority. */
final class TlsTest {
  private static Fleet fleet;
  private static String key;

  @BeforeAll
  static void startFleet() throws Exception {
    fleet = Fleet.start(FleetPlan.small().withSizes(1, 1, 0).withTls());
    key = fleet.configure("e1", "dispatch").get("dispatch");
  }

  @AfterAll
  static void stopFleet() {
    fleet.close();
  }

  @Test
  void aCallerInPlainTextIsRefusedAndNothingOfItsRequestTakesEffect() throws Exception {
    assertRefused(Grpc.newChannelBuilder(target(), InsecureChannelCredentials.create()).build());
    assertThat(ChatClient.complete(fleet, "e1", key, "x [len=2]").status()).isEqualTo(200);
  }

  @Test
  void aCallerWithoutACertificateIsRefused() throws Exception {
    assertRefused(
        Grpc.newChannelBuilder(
                target(),
                TlsChannelCredentials.newBuilder()
                    .trustManager(fleet.certificateAuthority().authorityFile().toFile())
                    .build())
            .build());
  }

  @Test
  void aCallerWithACertificateOfAnotherAuthorityIsRefused() throws Exception {
    Path folder = Files.createTempDirectory("limpetvale-other");
    CertificateAuthority other = CertificateAuthority.create(folder);
    other.issue("intruder");
    assertRefused(
        Grpc.newChannelBuilder(
                target(),
                TlsChannelCredentials.newBuilder()
                    .keyManager(
                        other.certificateFile("intruder").toFile(),
                        other.keyFile("intruder").toFile())
                    .trustManager(fleet.certificateAuthority().authorityFile().toFile())
                    .build())
            .build());
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }

  @Test
  void certificatesAreReplacedWhileTheProcessesRun() throws Exception {
    fleet.certificateAuthority().issue("m1");
    fleet.certificateAuthority().issue("e1");
    Thread.sleep(6000);
    assertThat(ChatClient.complete(fleet, "e1", key, "x [len=2]").status()).isEqualTo(200);
  }

  private static String target() {
    return "127.0.0.1:" + fleet.node("m1").grpcPort();
  }

  private static void assertRefused(ManagedChannel channel) throws InterruptedException {
    OrderRequest drain =
        OrderRequest.newBuilder()
            .setOrderId("x")
            .setEpoch(999)
            .setDuty("x")
            .setDrain(Drain.getDefaultInstance())
            .build();
    assertThatThrownBy(
            () ->
                SidecarServiceGrpc.newBlockingStub(channel)
                    .withDeadlineAfter(3, TimeUnit.SECONDS)
                    .order(drain))
        .isInstanceOf(StatusRuntimeException.class);
    channel.shutdownNow().awaitTermination(2, TimeUnit.SECONDS);
  }
}
