package org.limpetvale.daemon;

import io.grpc.BindableService;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Creates gRPC servers and channels for calls between processes. */
public final class GrpcFactory {
  /** Maximum size of a gRPC message, in bytes. */
  public static final int MAX_MESSAGE_BYTES = 16 << 20;

  private static final long HANDSHAKE_TIMEOUT_SECONDS = 5;
  private static final Executor EXECUTOR = Executors.newVirtualThreadPerTaskExecutor();

  private GrpcFactory() {}

  /**
   * Starts a server.
   *
   * @param settings address to listen on
   * @param security credentials
   * @param service service to expose
   */
  public static Server serve(
      GrpcSettings settings, TransportSecurity security, BindableService service) {
    try {
      return NettyServerBuilder.forAddress(
              new InetSocketAddress(settings.host(), settings.port()), security.serverCredentials())
          .executor(EXECUTOR)
          .handshakeTimeout(HANDSHAKE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
          .maxInboundMessageSize(MAX_MESSAGE_BYTES)
          .addService(service)
          .build()
          .start();
    } catch (IOException e) {
      throw new UncheckedIOException(
          "grpc: cannot listen on " + settings.host() + ":" + settings.port(), e);
    }
  }

  /**
   * Returns a channel that holds one connection.
   *
   * @param address host and port
   * @param security credentials
   */
  public static ManagedChannel channel(String address, TransportSecurity security) {
    return NettyChannelBuilder.forTarget("dns:///" + address, security.channelCredentials())
        .executor(EXECUTOR)
        .disableRetry()
        .proxyDetector(target -> null)
        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
        .build();
  }
}
