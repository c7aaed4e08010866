package org.limpetvale.forward.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;

/** Guards against a build that leaves out the native code of the transport on a known machine. */
final class NativeTransportTest {
  @Test
  @EnabledOnOs(
      value = OS.LINUX,
      architectures = {"amd64", "x86_64", "aarch64"})
  void onKnownMachinesTheNativeTransportIsUsed() {
    try (Transport transport = Transport.of(true)) {
      assertThat(transport.isNative()).isTrue();
    }
  }

  @Test
  void theFallbackIsUsedWhereItIsPreferred() {
    try (Transport transport = Transport.of(false)) {
      assertThat(transport.isNative()).isFalse();
    }
  }
}
