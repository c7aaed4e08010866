package org.limpetvale.fakes.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Free ports on loopback. */
public final class Ports {
  private static final Set<Integer> GIVEN = new HashSet<>();

  private Ports() {}

  /** Returns a free port that has not been given before. */
  public static synchronized int free() {
    while (true) {
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        if (GIVEN.add(socket.getLocalPort())) {
          return socket.getLocalPort();
        }
      } catch (IOException e) {
        throw new UncheckedIOException("no free port", e);
      }
    }
  }
}
