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
public interface OperatorClient extends Operator {

  /**
   * Calls the CreateProgram RPC service method.
   *
   * @param request the org.celerygw.api.gen.operator.CreateProgramRequest request message
   * @return a future of the org.celerygw.api.gen.operator.ProgramReply response message
   */
  Future<org.celerygw.api.gen.operator.ProgramReply> createProgram(org.celerygw.api.gen.operator.CreateProgramRequest request);

  /**
   * Calls the EndProgram RPC service method.
   *
   * @param request the org.celerygw.api.gen.operator.EndProgramRequest request message
   * @return a future of the org.celerygw.api.gen.operator.ProgramReply response message
   */
  Future<org.celerygw.api.gen.operator.ProgramReply> endProgram(org.celerygw.api.gen.operator.EndProgramRequest request);

  /**
   * Calls the ListPrograms RPC service method.
   *
   * @param request the org.celerygw.api.gen.operator.ListProgramsRequest request message
   * @return a future of the org.celerygw.api.gen.operator.ListProgramsReply response message
   */
  Future<org.celerygw.api.gen.operator.ListProgramsReply> listPrograms(org.celerygw.api.gen.operator.ListProgramsRequest request);

  /**
   * Calls the ExplainProgram RPC service method.
   *
   * @param request the org.celerygw.api.gen.operator.ExplainProgramRequest request message
   * @return a future of the org.celerygw.api.gen.operator.ExplainProgramReply response message
   */
  Future<org.celerygw.api.gen.operator.ExplainProgramReply> explainProgram(org.celerygw.api.gen.operator.ExplainProgramRequest request);

  /**
   * Calls the SettleCall RPC service method.
   *
   * @param request the org.celerygw.api.gen.operator.SettleCallRequest request message
   * @return a future of the org.celerygw.api.gen.operator.ProgramReply response message
   */
  Future<org.celerygw.api.gen.operator.ProgramReply> settleCall(org.celerygw.api.gen.operator.SettleCallRequest request);

  /**
   * Calls the GetConfig RPC service method.
   *
   * @param request the org.celerygw.api.gen.operator.GetConfigRequest request message
   * @return a future of the org.celerygw.api.gen.operator.ConfigReply response message
   */
  Future<org.celerygw.api.gen.operator.ConfigReply> getConfig(org.celerygw.api.gen.operator.GetConfigRequest request);

  /**
   * Calls the AcceptConfig RPC service method.
   *
   * @param request the org.celerygw.api.gen.operator.AcceptConfigRequest request message
   * @return a future of the org.celerygw.api.gen.operator.AcceptConfigReply response message
   */
  Future<org.celerygw.api.gen.operator.AcceptConfigReply> acceptConfig(org.celerygw.api.gen.operator.AcceptConfigRequest request);

  /**
   * Calls the ConfigHistory RPC service method.
   *
   * @param request the org.celerygw.api.gen.operator.ConfigHistoryRequest request message
   * @return a future of the org.celerygw.api.gen.operator.ConfigHistoryReply response message
   */
  Future<org.celerygw.api.gen.operator.ConfigHistoryReply> configHistory(org.celerygw.api.gen.operator.ConfigHistoryRequest request);

  /**
   * Calls the ConfigStatus RPC service method.
   *
   * @param request the org.celerygw.api.gen.operator.ConfigStatusRequest request message
   * @return a future of the org.celerygw.api.gen.operator.ConfigStatusReply response message
   */
  Future<org.celerygw.api.gen.operator.ConfigStatusReply> configStatus(org.celerygw.api.gen.operator.ConfigStatusRequest request);

  /**
   * Calls the ListHosts RPC service method.
   *
   * @param request the org.celerygw.api.gen.operator.ListHostsRequest request message
   * @return a future of the org.celerygw.api.gen.operator.ListHostsReply response message
   */
  Future<org.celerygw.api.gen.operator.ListHostsReply> listHosts(org.celerygw.api.gen.operator.ListHostsRequest request);

  /**
   * Calls the DrainHost RPC service method.
   *
   * @param request the org.celerygw.api.gen.operator.DrainHostRequest request message
   * @return a future of the org.celerygw.api.gen.operator.DrainHostReply response message
   */
  Future<org.celerygw.api.gen.operator.DrainHostReply> drainHost(org.celerygw.api.gen.operator.DrainHostRequest request);

  /**
   * Calls the ListBackends RPC service method.
   *
   * @param request the org.celerygw.api.gen.operator.ListBackendsRequest request message
   * @return a future of the org.celerygw.api.gen.operator.ListBackendsReply response message
   */
  Future<org.celerygw.api.gen.operator.ListBackendsReply> listBackends(org.celerygw.api.gen.operator.ListBackendsRequest request);

  /**
   * Calls the DrainBackend RPC service method.
   *
   * @param request the org.celerygw.api.gen.operator.DrainBackendRequest request message
   * @return a future of the org.celerygw.api.gen.operator.AcceptConfigReply response message
   */
  Future<org.celerygw.api.gen.operator.AcceptConfigReply> drainBackend(org.celerygw.api.gen.operator.DrainBackendRequest request);

  /**
   * Calls the ListActions RPC service method.
   *
   * @param request the org.celerygw.api.gen.operator.ListActionsRequest request message
   * @return a future of the org.celerygw.api.gen.operator.ListActionsReply response message
   */
  Future<org.celerygw.api.gen.operator.ListActionsReply> listActions(org.celerygw.api.gen.operator.ListActionsRequest request);

  /**
   * Calls the Watch RPC service method.
   *
   * @param request the org.celerygw.api.gen.operator.WatchRequest request message
   * @return a future of the org.celerygw.api.gen.operator.WatchEvent response messages
   */
  Future<ReadStream<org.celerygw.api.gen.operator.WatchEvent>> watch(org.celerygw.api.gen.operator.WatchRequest request);
}
