package org.limpetvale.wire;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Served by each entry to other entries.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class PeerServiceGrpc {

  private PeerServiceGrpc() {}

  public static final java.lang.String SERVICE_NAME = "limpetvale.v1.PeerService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.limpetvale.wire.ExchangeRequest,
      org.limpetvale.wire.ExchangeReply> getExchangeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Exchange",
      requestType = org.limpetvale.wire.ExchangeRequest.class,
      responseType = org.limpetvale.wire.ExchangeReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.limpetvale.wire.ExchangeRequest,
      org.limpetvale.wire.ExchangeReply> getExchangeMethod() {
    io.grpc.MethodDescriptor<org.limpetvale.wire.ExchangeRequest, org.limpetvale.wire.ExchangeReply> getExchangeMethod;
    if ((getExchangeMethod = PeerServiceGrpc.getExchangeMethod) == null) {
      synchronized (PeerServiceGrpc.class) {
        if ((getExchangeMethod = PeerServiceGrpc.getExchangeMethod) == null) {
          PeerServiceGrpc.getExchangeMethod = getExchangeMethod =
              io.grpc.MethodDescriptor.<org.limpetvale.wire.ExchangeRequest, org.limpetvale.wire.ExchangeReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Exchange"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.limpetvale.wire.ExchangeRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.limpetvale.wire.ExchangeReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerServiceMethodDescriptorSupplier("Exchange"))
              .build();
        }
      }
    }
    return getExchangeMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static PeerServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerServiceStub>() {
        @java.lang.Override
        public PeerServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerServiceStub(channel, callOptions);
        }
      };
    return PeerServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static PeerServiceBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerServiceBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerServiceBlockingV2Stub>() {
        @java.lang.Override
        public PeerServiceBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerServiceBlockingV2Stub(channel, callOptions);
        }
      };
    return PeerServiceBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static PeerServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerServiceBlockingStub>() {
        @java.lang.Override
        public PeerServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerServiceBlockingStub(channel, callOptions);
        }
      };
    return PeerServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static PeerServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerServiceFutureStub>() {
        @java.lang.Override
        public PeerServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerServiceFutureStub(channel, callOptions);
        }
      };
    return PeerServiceFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Served by each entry to other entries.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Exchanges configuration versions; answers with the changes the caller lacks.
     * </pre>
     */
    default void exchange(org.limpetvale.wire.ExchangeRequest request,
        io.grpc.stub.StreamObserver<org.limpetvale.wire.ExchangeReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExchangeMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service PeerService.
   * <pre>
   * Served by each entry to other entries.
   * </pre>
   */
  public static abstract class PeerServiceImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return PeerServiceGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service PeerService.
   * <pre>
   * Served by each entry to other entries.
   * </pre>
   */
  public static final class PeerServiceStub
      extends io.grpc.stub.AbstractAsyncStub<PeerServiceStub> {
    private PeerServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerServiceStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges configuration versions; answers with the changes the caller lacks.
     * </pre>
     */
    public void exchange(org.limpetvale.wire.ExchangeRequest request,
        io.grpc.stub.StreamObserver<org.limpetvale.wire.ExchangeReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service PeerService.
   * <pre>
   * Served by each entry to other entries.
   * </pre>
   */
  public static final class PeerServiceBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<PeerServiceBlockingV2Stub> {
    private PeerServiceBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerServiceBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerServiceBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges configuration versions; answers with the changes the caller lacks.
     * </pre>
     */
    public org.limpetvale.wire.ExchangeReply exchange(org.limpetvale.wire.ExchangeRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getExchangeMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service PeerService.
   * <pre>
   * Served by each entry to other entries.
   * </pre>
   */
  public static final class PeerServiceBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<PeerServiceBlockingStub> {
    private PeerServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerServiceBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges configuration versions; answers with the changes the caller lacks.
     * </pre>
     */
    public org.limpetvale.wire.ExchangeReply exchange(org.limpetvale.wire.ExchangeRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExchangeMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service PeerService.
   * <pre>
   * Served by each entry to other entries.
   * </pre>
   */
  public static final class PeerServiceFutureStub
      extends io.grpc.stub.AbstractFutureStub<PeerServiceFutureStub> {
    private PeerServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerServiceFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges configuration versions; answers with the changes the caller lacks.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.limpetvale.wire.ExchangeReply> exchange(
        org.limpetvale.wire.ExchangeRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_EXCHANGE = 0;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_EXCHANGE:
          serviceImpl.exchange((org.limpetvale.wire.ExchangeRequest) request,
              (io.grpc.stub.StreamObserver<org.limpetvale.wire.ExchangeReply>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getExchangeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.limpetvale.wire.ExchangeRequest,
              org.limpetvale.wire.ExchangeReply>(
                service, METHODID_EXCHANGE)))
        .build();
  }

  private static abstract class PeerServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    PeerServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.limpetvale.wire.Limpetvale.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("PeerService");
    }
  }

  private static final class PeerServiceFileDescriptorSupplier
      extends PeerServiceBaseDescriptorSupplier {
    PeerServiceFileDescriptorSupplier() {}
  }

  private static final class PeerServiceMethodDescriptorSupplier
      extends PeerServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    PeerServiceMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (PeerServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new PeerServiceFileDescriptorSupplier())
              .addMethod(getExchangeMethod())
              .build();
        }
      }
    }
    return result;
  }
}
