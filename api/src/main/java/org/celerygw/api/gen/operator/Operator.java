package org.celerygw.api.gen.operator;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.streams.ReadStream;
import io.vertx.core.streams.WriteStream;
import io.vertx.grpc.common.GrpcStatus;
import io.vertx.grpc.common.ServiceName;
import io.vertx.grpc.common.ServiceMethod;
import io.vertx.grpc.common.GrpcMessageDecoder;
import io.vertx.grpc.common.GrpcMessageEncoder;
import io.vertx.grpc.server.GrpcServerRequest;
import io.vertx.grpc.server.GrpcServer;
import io.vertx.grpc.server.Service;
import io.vertx.grpc.server.ServiceBuilder;

import com.google.protobuf.Descriptors;

import java.util.LinkedList;
import java.util.ArrayList;
import java.util.List;

/**
 * <p>Contract definition Operator service.</p>
 */
public interface Operator {

  Future<org.celerygw.api.gen.operator.ProgramReply> createProgram(org.celerygw.api.gen.operator.CreateProgramRequest request);

  Future<org.celerygw.api.gen.operator.ProgramReply> endProgram(org.celerygw.api.gen.operator.EndProgramRequest request);

  Future<org.celerygw.api.gen.operator.ListProgramsReply> listPrograms(org.celerygw.api.gen.operator.ListProgramsRequest request);

  Future<org.celerygw.api.gen.operator.ExplainProgramReply> explainProgram(org.celerygw.api.gen.operator.ExplainProgramRequest request);

  Future<org.celerygw.api.gen.operator.ProgramReply> settleCall(org.celerygw.api.gen.operator.SettleCallRequest request);

  Future<org.celerygw.api.gen.operator.ConfigReply> getConfig(org.celerygw.api.gen.operator.GetConfigRequest request);

  Future<org.celerygw.api.gen.operator.AcceptConfigReply> acceptConfig(org.celerygw.api.gen.operator.AcceptConfigRequest request);

  Future<org.celerygw.api.gen.operator.ConfigHistoryReply> configHistory(org.celerygw.api.gen.operator.ConfigHistoryRequest request);

  Future<org.celerygw.api.gen.operator.ConfigStatusReply> configStatus(org.celerygw.api.gen.operator.ConfigStatusRequest request);

  Future<org.celerygw.api.gen.operator.ListHostsReply> listHosts(org.celerygw.api.gen.operator.ListHostsRequest request);

  Future<org.celerygw.api.gen.operator.DrainHostReply> drainHost(org.celerygw.api.gen.operator.DrainHostRequest request);

  Future<org.celerygw.api.gen.operator.ListBackendsReply> listBackends(org.celerygw.api.gen.operator.ListBackendsRequest request);

  Future<org.celerygw.api.gen.operator.AcceptConfigReply> drainBackend(org.celerygw.api.gen.operator.DrainBackendRequest request);

  Future<org.celerygw.api.gen.operator.ListActionsReply> listActions(org.celerygw.api.gen.operator.ListActionsRequest request);

  Future<ReadStream<org.celerygw.api.gen.operator.WatchEvent>> watch(org.celerygw.api.gen.operator.WatchRequest request);

}
