package org.celerygw.api.gen.operator;

import io.vertx.core.Future;
import io.vertx.core.Completable;
import io.vertx.core.Handler;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.core.streams.ReadStream;
import io.vertx.core.streams.WriteStream;
import io.vertx.grpc.common.GrpcStatus;
import io.vertx.grpc.common.ServiceName;
import io.vertx.grpc.common.ServiceMethod;
import io.vertx.grpc.common.GrpcMessageDecoder;
import io.vertx.grpc.common.GrpcMessageEncoder;

/**
 * <p>A client for invoking the Operator gRPC service.</p>
 */
public interface OperatorGrpcClient extends OperatorClient {

  /**
   * CreateProgram protobuf RPC client service method.
   */
  ServiceMethod<org.celerygw.api.gen.operator.ProgramReply, org.celerygw.api.gen.operator.CreateProgramRequest> CreateProgram = ServiceMethod.client(
    ServiceName.create("celerygw.operator", "Operator"),
    "CreateProgram",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ProgramReply.newBuilder()));

  /**
   * EndProgram protobuf RPC client service method.
   */
  ServiceMethod<org.celerygw.api.gen.operator.ProgramReply, org.celerygw.api.gen.operator.EndProgramRequest> EndProgram = ServiceMethod.client(
    ServiceName.create("celerygw.operator", "Operator"),
    "EndProgram",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ProgramReply.newBuilder()));

  /**
   * ListPrograms protobuf RPC client service method.
   */
  ServiceMethod<org.celerygw.api.gen.operator.ListProgramsReply, org.celerygw.api.gen.operator.ListProgramsRequest> ListPrograms = ServiceMethod.client(
    ServiceName.create("celerygw.operator", "Operator"),
    "ListPrograms",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ListProgramsReply.newBuilder()));

  /**
   * ExplainProgram protobuf RPC client service method.
   */
  ServiceMethod<org.celerygw.api.gen.operator.ExplainProgramReply, org.celerygw.api.gen.operator.ExplainProgramRequest> ExplainProgram = ServiceMethod.client(
    ServiceName.create("celerygw.operator", "Operator"),
    "ExplainProgram",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ExplainProgramReply.newBuilder()));

  /**
   * SettleCall protobuf RPC client service method.
   */
  ServiceMethod<org.celerygw.api.gen.operator.ProgramReply, org.celerygw.api.gen.operator.SettleCallRequest> SettleCall = ServiceMethod.client(
    ServiceName.create("celerygw.operator", "Operator"),
    "SettleCall",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ProgramReply.newBuilder()));

  /**
   * GetConfig protobuf RPC client service method.
   */
  ServiceMethod<org.celerygw.api.gen.operator.ConfigReply, org.celerygw.api.gen.operator.GetConfigRequest> GetConfig = ServiceMethod.client(
    ServiceName.create("celerygw.operator", "Operator"),
    "GetConfig",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ConfigReply.newBuilder()));

  /**
   * AcceptConfig protobuf RPC client service method.
   */
  ServiceMethod<org.celerygw.api.gen.operator.AcceptConfigReply, org.celerygw.api.gen.operator.AcceptConfigRequest> AcceptConfig = ServiceMethod.client(
    ServiceName.create("celerygw.operator", "Operator"),
    "AcceptConfig",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.AcceptConfigReply.newBuilder()));

  /**
   * ConfigHistory protobuf RPC client service method.
   */
  ServiceMethod<org.celerygw.api.gen.operator.ConfigHistoryReply, org.celerygw.api.gen.operator.ConfigHistoryRequest> ConfigHistory = ServiceMethod.client(
    ServiceName.create("celerygw.operator", "Operator"),
    "ConfigHistory",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ConfigHistoryReply.newBuilder()));

  /**
   * ConfigStatus protobuf RPC client service method.
   */
  ServiceMethod<org.celerygw.api.gen.operator.ConfigStatusReply, org.celerygw.api.gen.operator.ConfigStatusRequest> ConfigStatus = ServiceMethod.client(
    ServiceName.create("celerygw.operator", "Operator"),
    "ConfigStatus",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ConfigStatusReply.newBuilder()));

  /**
   * ListHosts protobuf RPC client service method.
   */
  ServiceMethod<org.celerygw.api.gen.operator.ListHostsReply, org.celerygw.api.gen.operator.ListHostsRequest> ListHosts = ServiceMethod.client(
    ServiceName.create("celerygw.operator", "Operator"),
    "ListHosts",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ListHostsReply.newBuilder()));

  /**
   * DrainHost protobuf RPC client service method.
   */
  ServiceMethod<org.celerygw.api.gen.operator.DrainHostReply, org.celerygw.api.gen.operator.DrainHostRequest> DrainHost = ServiceMethod.client(
    ServiceName.create("celerygw.operator", "Operator"),
    "DrainHost",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.DrainHostReply.newBuilder()));

  /**
   * ListBackends protobuf RPC client service method.
   */
  ServiceMethod<org.celerygw.api.gen.operator.ListBackendsReply, org.celerygw.api.gen.operator.ListBackendsRequest> ListBackends = ServiceMethod.client(
    ServiceName.create("celerygw.operator", "Operator"),
    "ListBackends",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ListBackendsReply.newBuilder()));

  /**
   * DrainBackend protobuf RPC client service method.
   */
  ServiceMethod<org.celerygw.api.gen.operator.AcceptConfigReply, org.celerygw.api.gen.operator.DrainBackendRequest> DrainBackend = ServiceMethod.client(
    ServiceName.create("celerygw.operator", "Operator"),
    "DrainBackend",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.AcceptConfigReply.newBuilder()));

  /**
   * ListActions protobuf RPC client service method.
   */
  ServiceMethod<org.celerygw.api.gen.operator.ListActionsReply, org.celerygw.api.gen.operator.ListActionsRequest> ListActions = ServiceMethod.client(
    ServiceName.create("celerygw.operator", "Operator"),
    "ListActions",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ListActionsReply.newBuilder()));

  /**
   * Watch protobuf RPC client service method.
   */
  ServiceMethod<org.celerygw.api.gen.operator.WatchEvent, org.celerygw.api.gen.operator.WatchRequest> Watch = ServiceMethod.client(
    ServiceName.create("celerygw.operator", "Operator"),
    "Watch",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.WatchEvent.newBuilder()));

  /**
   * Create and return a Operator gRPC service client. The assumed wire format is Protobuf.
   *
   * @param client the gRPC client
   * @param host   the host providing the service
   * @return the configured client
   */
  static OperatorGrpcClient create(GrpcClient client, SocketAddress host) {
    return new OperatorGrpcClientImpl(client, host);
  }

  /**
   * Create and return a Operator gRPC service client.
   *
   * @param client     the gRPC client
   * @param host       the host providing the service
   * @param wireFormat the wire format
   * @return the configured client
   */
  static OperatorGrpcClient create(GrpcClient client, SocketAddress host, io.vertx.grpc.common.WireFormat wireFormat) {
    return new OperatorGrpcClientImpl(client, host, wireFormat);
  }
}

/**
 * The proxy implementation.
 */
class OperatorGrpcClientImpl implements OperatorGrpcClient {

  private final GrpcClient client;
  private final SocketAddress socketAddress;
  private final io.vertx.grpc.common.WireFormat wireFormat;

  OperatorGrpcClientImpl(GrpcClient client, SocketAddress socketAddress) {
    this(client, socketAddress, io.vertx.grpc.common.WireFormat.PROTOBUF);
  }

  OperatorGrpcClientImpl(GrpcClient client, SocketAddress socketAddress, io.vertx.grpc.common.WireFormat wireFormat) {
    this.client = java.util.Objects.requireNonNull(client);
    this.socketAddress = java.util.Objects.requireNonNull(socketAddress);
    this.wireFormat = java.util.Objects.requireNonNull(wireFormat);
  }

  public Future<org.celerygw.api.gen.operator.ProgramReply> createProgram(org.celerygw.api.gen.operator.CreateProgramRequest request) {
    return client.request(socketAddress, CreateProgram).compose(req -> {
      req.format(wireFormat);
      return req.end(request).compose(v -> req.response().compose(resp -> resp.last()));
    });
  }

  public Future<org.celerygw.api.gen.operator.ProgramReply> endProgram(org.celerygw.api.gen.operator.EndProgramRequest request) {
    return client.request(socketAddress, EndProgram).compose(req -> {
      req.format(wireFormat);
      return req.end(request).compose(v -> req.response().compose(resp -> resp.last()));
    });
  }

  public Future<org.celerygw.api.gen.operator.ListProgramsReply> listPrograms(org.celerygw.api.gen.operator.ListProgramsRequest request) {
    return client.request(socketAddress, ListPrograms).compose(req -> {
      req.format(wireFormat);
      return req.end(request).compose(v -> req.response().compose(resp -> resp.last()));
    });
  }

  public Future<org.celerygw.api.gen.operator.ExplainProgramReply> explainProgram(org.celerygw.api.gen.operator.ExplainProgramRequest request) {
    return client.request(socketAddress, ExplainProgram).compose(req -> {
      req.format(wireFormat);
      return req.end(request).compose(v -> req.response().compose(resp -> resp.last()));
    });
  }

  public Future<org.celerygw.api.gen.operator.ProgramReply> settleCall(org.celerygw.api.gen.operator.SettleCallRequest request) {
    return client.request(socketAddress, SettleCall).compose(req -> {
      req.format(wireFormat);
      return req.end(request).compose(v -> req.response().compose(resp -> resp.last()));
    });
  }

  public Future<org.celerygw.api.gen.operator.ConfigReply> getConfig(org.celerygw.api.gen.operator.GetConfigRequest request) {
    return client.request(socketAddress, GetConfig).compose(req -> {
      req.format(wireFormat);
      return req.end(request).compose(v -> req.response().compose(resp -> resp.last()));
    });
  }

  public Future<org.celerygw.api.gen.operator.AcceptConfigReply> acceptConfig(org.celerygw.api.gen.operator.AcceptConfigRequest request) {
    return client.request(socketAddress, AcceptConfig).compose(req -> {
      req.format(wireFormat);
      return req.end(request).compose(v -> req.response().compose(resp -> resp.last()));
    });
  }

  public Future<org.celerygw.api.gen.operator.ConfigHistoryReply> configHistory(org.celerygw.api.gen.operator.ConfigHistoryRequest request) {
    return client.request(socketAddress, ConfigHistory).compose(req -> {
      req.format(wireFormat);
      return req.end(request).compose(v -> req.response().compose(resp -> resp.last()));
    });
  }

  public Future<org.celerygw.api.gen.operator.ConfigStatusReply> configStatus(org.celerygw.api.gen.operator.ConfigStatusRequest request) {
    return client.request(socketAddress, ConfigStatus).compose(req -> {
      req.format(wireFormat);
      return req.end(request).compose(v -> req.response().compose(resp -> resp.last()));
    });
  }

  public Future<org.celerygw.api.gen.operator.ListHostsReply> listHosts(org.celerygw.api.gen.operator.ListHostsRequest request) {
    return client.request(socketAddress, ListHosts).compose(req -> {
      req.format(wireFormat);
      return req.end(request).compose(v -> req.response().compose(resp -> resp.last()));
    });
  }

  public Future<org.celerygw.api.gen.operator.DrainHostReply> drainHost(org.celerygw.api.gen.operator.DrainHostRequest request) {
    return client.request(socketAddress, DrainHost).compose(req -> {
      req.format(wireFormat);
      return req.end(request).compose(v -> req.response().compose(resp -> resp.last()));
    });
  }

  public Future<org.celerygw.api.gen.operator.ListBackendsReply> listBackends(org.celerygw.api.gen.operator.ListBackendsRequest request) {
    return client.request(socketAddress, ListBackends).compose(req -> {
      req.format(wireFormat);
      return req.end(request).compose(v -> req.response().compose(resp -> resp.last()));
    });
  }

  public Future<org.celerygw.api.gen.operator.AcceptConfigReply> drainBackend(org.celerygw.api.gen.operator.DrainBackendRequest request) {
    return client.request(socketAddress, DrainBackend).compose(req -> {
      req.format(wireFormat);
      return req.end(request).compose(v -> req.response().compose(resp -> resp.last()));
    });
  }

  public Future<org.celerygw.api.gen.operator.ListActionsReply> listActions(org.celerygw.api.gen.operator.ListActionsRequest request) {
    return client.request(socketAddress, ListActions).compose(req -> {
      req.format(wireFormat);
      return req.end(request).compose(v -> req.response().compose(resp -> resp.last()));
    });
  }

  public Future<ReadStream<org.celerygw.api.gen.operator.WatchEvent>> watch(org.celerygw.api.gen.operator.WatchRequest request) {
    return client.request(socketAddress, Watch).compose(req -> {
      req.format(wireFormat);
      return req.end(request).compose(v -> req.response().flatMap(resp -> {
        if (resp.status() != null && resp.status() != GrpcStatus.OK) {
          return Future.failedFuture(new io.vertx.grpc.client.InvalidStatusException(GrpcStatus.OK, resp.status()));
        } else {
          return Future.succeededFuture(resp);
        }
      }));
    });
  }
}
