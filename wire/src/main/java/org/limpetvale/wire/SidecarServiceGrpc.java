package org.limpetvale.wire;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Served by each sidecar to entries.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class SidecarServiceGrpc {

  private SidecarServiceGrpc() {}

  public static final java.lang.String SERVICE_NAME = "limpetvale.v1.SidecarService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.limpetvale.wire.RunCommand,
      org.limpetvale.wire.RunEvent> getRunMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Run",
      requestType = org.limpetvale.wire.RunCommand.class,
      responseType = org.limpetvale.wire.RunEvent.class,
      methodType = io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
  public static io.grpc.MethodDescriptor<org.limpetvale.wire.RunCommand,
      org.limpetvale.wire.RunEvent> getRunMethod() {
    io.grpc.MethodDescriptor<org.limpetvale.wire.RunCommand, org.limpetvale.wire.RunEvent> getRunMethod;
    if ((getRunMethod = SidecarServiceGrpc.getRunMethod) == null) {
      synchronized (SidecarServiceGrpc.class) {
        if ((getRunMethod = SidecarServiceGrpc.getRunMethod) == null) {
          SidecarServiceGrpc.getRunMethod = getRunMethod =
              io.grpc.MethodDescriptor.<org.limpetvale.wire.RunCommand, org.limpetvale.wire.RunEvent>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Run"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.limpetvale.wire.RunCommand.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.limpetvale.wire.RunEvent.getDefaultInstance()))
              .setSchemaDescriptor(new SidecarServiceMethodDescriptorSupplier("Run"))
              .build();
        }
      }
    }
    return getRunMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.limpetvale.wire.WatchPing,
      org.limpetvale.wire.WatchReport> getWatchMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Watch",
      requestType = org.limpetvale.wire.WatchPing.class,
      responseType = org.limpetvale.wire.WatchReport.class,
      methodType = io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
  public static io.grpc.MethodDescriptor<org.limpetvale.wire.WatchPing,
      org.limpetvale.wire.WatchReport> getWatchMethod() {
    io.grpc.MethodDescriptor<org.limpetvale.wire.WatchPing, org.limpetvale.wire.WatchReport> getWatchMethod;
    if ((getWatchMethod = SidecarServiceGrpc.getWatchMethod) == null) {
      synchronized (SidecarServiceGrpc.class) {
        if ((getWatchMethod = SidecarServiceGrpc.getWatchMethod) == null) {
          SidecarServiceGrpc.getWatchMethod = getWatchMethod =
              io.grpc.MethodDescriptor.<org.limpetvale.wire.WatchPing, org.limpetvale.wire.WatchReport>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Watch"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.limpetvale.wire.WatchPing.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.limpetvale.wire.WatchReport.getDefaultInstance()))
              .setSchemaDescriptor(new SidecarServiceMethodDescriptorSupplier("Watch"))
              .build();
        }
      }
    }
    return getWatchMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.limpetvale.wire.OrderRequest,
      org.limpetvale.wire.OrderReply> getOrderMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Order",
      requestType = org.limpetvale.wire.OrderRequest.class,
      responseType = org.limpetvale.wire.OrderReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.limpetvale.wire.OrderRequest,
      org.limpetvale.wire.OrderReply> getOrderMethod() {
    io.grpc.MethodDescriptor<org.limpetvale.wire.OrderRequest, org.limpetvale.wire.OrderReply> getOrderMethod;
    if ((getOrderMethod = SidecarServiceGrpc.getOrderMethod) == null) {
      synchronized (SidecarServiceGrpc.class) {
        if ((getOrderMethod = SidecarServiceGrpc.getOrderMethod) == null) {
          SidecarServiceGrpc.getOrderMethod = getOrderMethod =
              io.grpc.MethodDescriptor.<org.limpetvale.wire.OrderRequest, org.limpetvale.wire.OrderReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Order"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.limpetvale.wire.OrderRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.limpetvale.wire.OrderReply.getDefaultInstance()))
              .setSchemaDescriptor(new SidecarServiceMethodDescriptorSupplier("Order"))
              .build();
        }
      }
    }
    return getOrderMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.limpetvale.wire.TakeOrphanedUsageRequest,
      org.limpetvale.wire.TakeOrphanedUsageReply> getTakeOrphanedUsageMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "TakeOrphanedUsage",
      requestType = org.limpetvale.wire.TakeOrphanedUsageRequest.class,
      responseType = org.limpetvale.wire.TakeOrphanedUsageReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.limpetvale.wire.TakeOrphanedUsageRequest,
      org.limpetvale.wire.TakeOrphanedUsageReply> getTakeOrphanedUsageMethod() {
    io.grpc.MethodDescriptor<org.limpetvale.wire.TakeOrphanedUsageRequest, org.limpetvale.wire.TakeOrphanedUsageReply> getTakeOrphanedUsageMethod;
    if ((getTakeOrphanedUsageMethod = SidecarServiceGrpc.getTakeOrphanedUsageMethod) == null) {
      synchronized (SidecarServiceGrpc.class) {
        if ((getTakeOrphanedUsageMethod = SidecarServiceGrpc.getTakeOrphanedUsageMethod) == null) {
          SidecarServiceGrpc.getTakeOrphanedUsageMethod = getTakeOrphanedUsageMethod =
              io.grpc.MethodDescriptor.<org.limpetvale.wire.TakeOrphanedUsageRequest, org.limpetvale.wire.TakeOrphanedUsageReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "TakeOrphanedUsage"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.limpetvale.wire.TakeOrphanedUsageRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.limpetvale.wire.TakeOrphanedUsageReply.getDefaultInstance()))
              .setSchemaDescriptor(new SidecarServiceMethodDescriptorSupplier("TakeOrphanedUsage"))
              .build();
        }
      }
    }
    return getTakeOrphanedUsageMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static SidecarServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SidecarServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SidecarServiceStub>() {
        @java.lang.Override
        public SidecarServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SidecarServiceStub(channel, callOptions);
        }
      };
    return SidecarServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static SidecarServiceBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SidecarServiceBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SidecarServiceBlockingV2Stub>() {
        @java.lang.Override
        public SidecarServiceBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SidecarServiceBlockingV2Stub(channel, callOptions);
        }
      };
    return SidecarServiceBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static SidecarServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SidecarServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SidecarServiceBlockingStub>() {
        @java.lang.Override
        public SidecarServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SidecarServiceBlockingStub(channel, callOptions);
        }
      };
    return SidecarServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static SidecarServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SidecarServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SidecarServiceFutureStub>() {
        @java.lang.Override
        public SidecarServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SidecarServiceFutureStub(channel, callOptions);
        }
      };
    return SidecarServiceFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Served by each sidecar to entries.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Runs one attempt of a request, or resumes the relay of one after a lost connection.
     * </pre>
     */
    default io.grpc.stub.StreamObserver<org.limpetvale.wire.RunCommand> run(
        io.grpc.stub.StreamObserver<org.limpetvale.wire.RunEvent> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getRunMethod(), responseObserver);
    }

    /**
     * <pre>
     * Heartbeats in both directions with load and membership; one stream per entry.
     * </pre>
     */
    default io.grpc.stub.StreamObserver<org.limpetvale.wire.WatchPing> watch(
        io.grpc.stub.StreamObserver<org.limpetvale.wire.WatchReport> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getWatchMethod(), responseObserver);
    }

    /**
     * <pre>
     * Applies an engine order through the fencing gate.
     * </pre>
     */
    default void order(org.limpetvale.wire.OrderRequest request,
        io.grpc.stub.StreamObserver<org.limpetvale.wire.OrderReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getOrderMethod(), responseObserver);
    }

    /**
     * <pre>
     * Takes usage records that a lost entry has left with the sidecar.
     * </pre>
     */
    default void takeOrphanedUsage(org.limpetvale.wire.TakeOrphanedUsageRequest request,
        io.grpc.stub.StreamObserver<org.limpetvale.wire.TakeOrphanedUsageReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getTakeOrphanedUsageMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service SidecarService.
   * <pre>
   * Served by each sidecar to entries.
   * </pre>
   */
  public static abstract class SidecarServiceImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return SidecarServiceGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service SidecarService.
   * <pre>
   * Served by each sidecar to entries.
   * </pre>
   */
  public static final class SidecarServiceStub
      extends io.grpc.stub.AbstractAsyncStub<SidecarServiceStub> {
    private SidecarServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SidecarServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SidecarServiceStub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs one attempt of a request, or resumes the relay of one after a lost connection.
     * </pre>
     */
    public io.grpc.stub.StreamObserver<org.limpetvale.wire.RunCommand> run(
        io.grpc.stub.StreamObserver<org.limpetvale.wire.RunEvent> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncBidiStreamingCall(
          getChannel().newCall(getRunMethod(), getCallOptions()), responseObserver);
    }

    /**
     * <pre>
     * Heartbeats in both directions with load and membership; one stream per entry.
     * </pre>
     */
    public io.grpc.stub.StreamObserver<org.limpetvale.wire.WatchPing> watch(
        io.grpc.stub.StreamObserver<org.limpetvale.wire.WatchReport> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncBidiStreamingCall(
          getChannel().newCall(getWatchMethod(), getCallOptions()), responseObserver);
    }

    /**
     * <pre>
     * Applies an engine order through the fencing gate.
     * </pre>
     */
    public void order(org.limpetvale.wire.OrderRequest request,
        io.grpc.stub.StreamObserver<org.limpetvale.wire.OrderReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getOrderMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Takes usage records that a lost entry has left with the sidecar.
     * </pre>
     */
    public void takeOrphanedUsage(org.limpetvale.wire.TakeOrphanedUsageRequest request,
        io.grpc.stub.StreamObserver<org.limpetvale.wire.TakeOrphanedUsageReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getTakeOrphanedUsageMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service SidecarService.
   * <pre>
   * Served by each sidecar to entries.
   * </pre>
   */
  public static final class SidecarServiceBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<SidecarServiceBlockingV2Stub> {
    private SidecarServiceBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SidecarServiceBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SidecarServiceBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs one attempt of a request, or resumes the relay of one after a lost connection.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<org.limpetvale.wire.RunCommand, org.limpetvale.wire.RunEvent>
        run() {
      return io.grpc.stub.ClientCalls.blockingBidiStreamingCall(
          getChannel(), getRunMethod(), getCallOptions());
    }

    /**
     * <pre>
     * Heartbeats in both directions with load and membership; one stream per entry.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<org.limpetvale.wire.WatchPing, org.limpetvale.wire.WatchReport>
        watch() {
      return io.grpc.stub.ClientCalls.blockingBidiStreamingCall(
          getChannel(), getWatchMethod(), getCallOptions());
    }

    /**
     * <pre>
     * Applies an engine order through the fencing gate.
     * </pre>
     */
    public org.limpetvale.wire.OrderReply order(org.limpetvale.wire.OrderRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getOrderMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Takes usage records that a lost entry has left with the sidecar.
     * </pre>
     */
    public org.limpetvale.wire.TakeOrphanedUsageReply takeOrphanedUsage(org.limpetvale.wire.TakeOrphanedUsageRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getTakeOrphanedUsageMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service SidecarService.
   * <pre>
   * Served by each sidecar to entries.
   * </pre>
   */
  public static final class SidecarServiceBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<SidecarServiceBlockingStub> {
    private SidecarServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SidecarServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SidecarServiceBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Applies an engine order through the fencing gate.
     * </pre>
     */
    public org.limpetvale.wire.OrderReply order(org.limpetvale.wire.OrderRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getOrderMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Takes usage records that a lost entry has left with the sidecar.
     * </pre>
     */
    public org.limpetvale.wire.TakeOrphanedUsageReply takeOrphanedUsage(org.limpetvale.wire.TakeOrphanedUsageRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getTakeOrphanedUsageMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service SidecarService.
   * <pre>
   * Served by each sidecar to entries.
   * </pre>
   */
  public static final class SidecarServiceFutureStub
      extends io.grpc.stub.AbstractFutureStub<SidecarServiceFutureStub> {
    private SidecarServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SidecarServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SidecarServiceFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Applies an engine order through the fencing gate.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.limpetvale.wire.OrderReply> order(
        org.limpetvale.wire.OrderRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getOrderMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Takes usage records that a lost entry has left with the sidecar.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.limpetvale.wire.TakeOrphanedUsageReply> takeOrphanedUsage(
        org.limpetvale.wire.TakeOrphanedUsageRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getTakeOrphanedUsageMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_ORDER = 0;
  private static final int METHODID_TAKE_ORPHANED_USAGE = 1;
  private static final int METHODID_RUN = 2;
  private static final int METHODID_WATCH = 3;

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
        case METHODID_ORDER:
          serviceImpl.order((org.limpetvale.wire.OrderRequest) request,
              (io.grpc.stub.StreamObserver<org.limpetvale.wire.OrderReply>) responseObserver);
          break;
        case METHODID_TAKE_ORPHANED_USAGE:
          serviceImpl.takeOrphanedUsage((org.limpetvale.wire.TakeOrphanedUsageRequest) request,
              (io.grpc.stub.StreamObserver<org.limpetvale.wire.TakeOrphanedUsageReply>) responseObserver);
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
        case METHODID_RUN:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.run(
              (io.grpc.stub.StreamObserver<org.limpetvale.wire.RunEvent>) responseObserver);
        case METHODID_WATCH:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.watch(
              (io.grpc.stub.StreamObserver<org.limpetvale.wire.WatchReport>) responseObserver);
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getRunMethod(),
          io.grpc.stub.ServerCalls.asyncBidiStreamingCall(
            new MethodHandlers<
              org.limpetvale.wire.RunCommand,
              org.limpetvale.wire.RunEvent>(
                service, METHODID_RUN)))
        .addMethod(
          getWatchMethod(),
          io.grpc.stub.ServerCalls.asyncBidiStreamingCall(
            new MethodHandlers<
              org.limpetvale.wire.WatchPing,
              org.limpetvale.wire.WatchReport>(
                service, METHODID_WATCH)))
        .addMethod(
          getOrderMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.limpetvale.wire.OrderRequest,
              org.limpetvale.wire.OrderReply>(
                service, METHODID_ORDER)))
        .addMethod(
          getTakeOrphanedUsageMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.limpetvale.wire.TakeOrphanedUsageRequest,
              org.limpetvale.wire.TakeOrphanedUsageReply>(
                service, METHODID_TAKE_ORPHANED_USAGE)))
        .build();
  }

  private static abstract class SidecarServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    SidecarServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.limpetvale.wire.Limpetvale.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("SidecarService");
    }
  }

  private static final class SidecarServiceFileDescriptorSupplier
      extends SidecarServiceBaseDescriptorSupplier {
    SidecarServiceFileDescriptorSupplier() {}
  }

  private static final class SidecarServiceMethodDescriptorSupplier
      extends SidecarServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    SidecarServiceMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (SidecarServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new SidecarServiceFileDescriptorSupplier())
              .addMethod(getRunMethod())
              .addMethod(getWatchMethod())
              .addMethod(getOrderMethod())
              .addMethod(getTakeOrphanedUsageMethod())
              .build();
        }
      }
    }
    return result;
  }
}
