package org.limpetvale.it;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy on loopback that cuts and silently swallows connections. */
final class FaultProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 16_384;
  private static final int CONNECT_MILLIS = 1000;

  private final ServerSocket server;
  private final int targetPort;
  private final Set<Link> links = ConcurrentHashMap.newKeySet();
  private volatile boolean swallowsAll;

  private FaultProxy(ServerSocket server, int targetPort) {
    this.server = server;
    this.targetPort = targetPort;
  }

  private static final class Link {
    private final Socket caller;
    private final Socket target;
    private volatile boolean silent;

    Link(Socket caller, Socket target) {
      this.caller = caller;
      this.target = target;
    }
  }

  static FaultProxy to(int targetPort) {
    try {
      ServerSocket server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
      FaultProxy proxy = new FaultProxy(server, targetPort);
      Thread.ofVirtual().start(proxy::acceptAll);
      return proxy;
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  int port() {
    return server.getLocalPort();
  }

  /** Swallows what comes on the connections that are open now; new ones work. */
  void swallowOpen() {
    links.forEach(link -> link.silent = true);
  }

  /** Swallows everything, on new connections too, or nothing from now on. */
  void swallowAll(boolean on) {
    swallowsAll = on;
  }

  /** Closes the connections that are open now. */
  void cutOpen() {
    links.forEach(FaultProxy::close);
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException e) {
      System.err.println("proxy: " + e);
    }
    cutOpen();
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        Socket caller = server.accept();
        Thread.ofVirtual().start(() -> open(caller));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void open(Socket caller) {
    Socket target = new Socket();
    try {
      target.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort), CONNECT_MILLIS);
      caller.setTcpNoDelay(true);
      target.setTcpNoDelay(true);
    } catch (IOException e) {
      close(new Link(caller, target));
      return;
    }
    Link link = new Link(caller, target);
    links.add(link);
    Thread.ofVirtual().start(() -> pump(link, caller, target));
    Thread.ofVirtual().start(() -> pump(link, target, caller));
  }

  private void pump(Link link, Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (!link.silent && !swallowsAll) {
          out.write(buffer, 0, count);
        }
      }
    } catch (IOException e) {
      // One side is gone.
    }
    if (!link.silent) {
      links.remove(link);
      close(link);
    }
  }

  private static void close(Link link) {
    try {
      link.caller.close();
      link.target.close();
    } catch (IOException e) {
      System.err.println("proxy: " + e);
    }
  }
}
