package org.celerygw.api.gen.operator;

import io.vertx.core.Future;
import io.vertx.core.Completable;
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
 * <p>Provides support for RPC methods implementations of the Operator gRPC service.</p>
 *
 * <p>The following methods of this class should be overridden to provide an implementation of the service:</p>
 * <ul>
 *   <li>CreateProgram</li>
 *   <li>EndProgram</li>
 *   <li>ListPrograms</li>
 *   <li>ExplainProgram</li>
 *   <li>SettleCall</li>
 *   <li>GetConfig</li>
 *   <li>AcceptConfig</li>
 *   <li>ConfigHistory</li>
 *   <li>ConfigStatus</li>
 *   <li>ListHosts</li>
 *   <li>DrainHost</li>
 *   <li>ListBackends</li>
 *   <li>DrainBackend</li>
 *   <li>ListActions</li>
 *   <li>Watch</li>
 * </ul>
 */
public class OperatorService implements Operator {

  /**
   * Override this method to implement the CreateProgram RPC.
   */
  public Future<org.celerygw.api.gen.operator.ProgramReply> createProgram(org.celerygw.api.gen.operator.CreateProgramRequest request) {
    throw new UnsupportedOperationException("Not implemented");
  }

  protected void createProgram(org.celerygw.api.gen.operator.CreateProgramRequest request, Completable<org.celerygw.api.gen.operator.ProgramReply> response) {
    createProgram(request).onComplete(response);
  }

  /**
   * Override this method to implement the EndProgram RPC.
   */
  public Future<org.celerygw.api.gen.operator.ProgramReply> endProgram(org.celerygw.api.gen.operator.EndProgramRequest request) {
    throw new UnsupportedOperationException("Not implemented");
  }

  protected void endProgram(org.celerygw.api.gen.operator.EndProgramRequest request, Completable<org.celerygw.api.gen.operator.ProgramReply> response) {
    endProgram(request).onComplete(response);
  }

  /**
   * Override this method to implement the ListPrograms RPC.
   */
  public Future<org.celerygw.api.gen.operator.ListProgramsReply> listPrograms(org.celerygw.api.gen.operator.ListProgramsRequest request) {
    throw new UnsupportedOperationException("Not implemented");
  }

  protected void listPrograms(org.celerygw.api.gen.operator.ListProgramsRequest request, Completable<org.celerygw.api.gen.operator.ListProgramsReply> response) {
    listPrograms(request).onComplete(response);
  }

  /**
   * Override this method to implement the ExplainProgram RPC.
   */
  public Future<org.celerygw.api.gen.operator.ExplainProgramReply> explainProgram(org.celerygw.api.gen.operator.ExplainProgramRequest request) {
    throw new UnsupportedOperationException("Not implemented");
  }

  protected void explainProgram(org.celerygw.api.gen.operator.ExplainProgramRequest request, Completable<org.celerygw.api.gen.operator.ExplainProgramReply> response) {
    explainProgram(request).onComplete(response);
  }

  /**
   * Override this method to implement the SettleCall RPC.
   */
  public Future<org.celerygw.api.gen.operator.ProgramReply> settleCall(org.celerygw.api.gen.operator.SettleCallRequest request) {
    throw new UnsupportedOperationException("Not implemented");
  }

  protected void settleCall(org.celerygw.api.gen.operator.SettleCallRequest request, Completable<org.celerygw.api.gen.operator.ProgramReply> response) {
    settleCall(request).onComplete(response);
  }

  /**
   * Override this method to implement the GetConfig RPC.
   */
  public Future<org.celerygw.api.gen.operator.ConfigReply> getConfig(org.celerygw.api.gen.operator.GetConfigRequest request) {
    throw new UnsupportedOperationException("Not implemented");
  }

  protected void getConfig(org.celerygw.api.gen.operator.GetConfigRequest request, Completable<org.celerygw.api.gen.operator.ConfigReply> response) {
    getConfig(request).onComplete(response);
  }

  /**
   * Override this method to implement the AcceptConfig RPC.
   */
  public Future<org.celerygw.api.gen.operator.AcceptConfigReply> acceptConfig(org.celerygw.api.gen.operator.AcceptConfigRequest request) {
    throw new UnsupportedOperationException("Not implemented");
  }

  protected void acceptConfig(org.celerygw.api.gen.operator.AcceptConfigRequest request, Completable<org.celerygw.api.gen.operator.AcceptConfigReply> response) {
    acceptConfig(request).onComplete(response);
  }

  /**
   * Override this method to implement the ConfigHistory RPC.
   */
  public Future<org.celerygw.api.gen.operator.ConfigHistoryReply> configHistory(org.celerygw.api.gen.operator.ConfigHistoryRequest request) {
    throw new UnsupportedOperationException("Not implemented");
  }

  protected void configHistory(org.celerygw.api.gen.operator.ConfigHistoryRequest request, Completable<org.celerygw.api.gen.operator.ConfigHistoryReply> response) {
    configHistory(request).onComplete(response);
  }

  /**
   * Override this method to implement the ConfigStatus RPC.
   */
  public Future<org.celerygw.api.gen.operator.ConfigStatusReply> configStatus(org.celerygw.api.gen.operator.ConfigStatusRequest request) {
    throw new UnsupportedOperationException("Not implemented");
  }

  protected void configStatus(org.celerygw.api.gen.operator.ConfigStatusRequest request, Completable<org.celerygw.api.gen.operator.ConfigStatusReply> response) {
    configStatus(request).onComplete(response);
  }

  /**
   * Override this method to implement the ListHosts RPC.
   */
  public Future<org.celerygw.api.gen.operator.ListHostsReply> listHosts(org.celerygw.api.gen.operator.ListHostsRequest request) {
    throw new UnsupportedOperationException("Not implemented");
  }

  protected void listHosts(org.celerygw.api.gen.operator.ListHostsRequest request, Completable<org.celerygw.api.gen.operator.ListHostsReply> response) {
    listHosts(request).onComplete(response);
  }

  /**
   * Override this method to implement the DrainHost RPC.
   */
  public Future<org.celerygw.api.gen.operator.DrainHostReply> drainHost(org.celerygw.api.gen.operator.DrainHostRequest request) {
    throw new UnsupportedOperationException("Not implemented");
  }

  protected void drainHost(org.celerygw.api.gen.operator.DrainHostRequest request, Completable<org.celerygw.api.gen.operator.DrainHostReply> response) {
    drainHost(request).onComplete(response);
  }

  /**
   * Override this method to implement the ListBackends RPC.
   */
  public Future<org.celerygw.api.gen.operator.ListBackendsReply> listBackends(org.celerygw.api.gen.operator.ListBackendsRequest request) {
    throw new UnsupportedOperationException("Not implemented");
  }

  protected void listBackends(org.celerygw.api.gen.operator.ListBackendsRequest request, Completable<org.celerygw.api.gen.operator.ListBackendsReply> response) {
    listBackends(request).onComplete(response);
  }

  /**
   * Override this method to implement the DrainBackend RPC.
   */
  public Future<org.celerygw.api.gen.operator.AcceptConfigReply> drainBackend(org.celerygw.api.gen.operator.DrainBackendRequest request) {
    throw new UnsupportedOperationException("Not implemented");
  }

  protected void drainBackend(org.celerygw.api.gen.operator.DrainBackendRequest request, Completable<org.celerygw.api.gen.operator.AcceptConfigReply> response) {
    drainBackend(request).onComplete(response);
  }

  /**
   * Override this method to implement the ListActions RPC.
   */
  public Future<org.celerygw.api.gen.operator.ListActionsReply> listActions(org.celerygw.api.gen.operator.ListActionsRequest request) {
    throw new UnsupportedOperationException("Not implemented");
  }

  protected void listActions(org.celerygw.api.gen.operator.ListActionsRequest request, Completable<org.celerygw.api.gen.operator.ListActionsReply> response) {
    listActions(request).onComplete(response);
  }

  /**
   * Override this method to implement the Watch RPC.
   */
  public Future<ReadStream<org.celerygw.api.gen.operator.WatchEvent>> watch(org.celerygw.api.gen.operator.WatchRequest request) {
    throw new UnsupportedOperationException("Not implemented");
  }

  protected void watch(org.celerygw.api.gen.operator.WatchRequest request, WriteStream<org.celerygw.api.gen.operator.WatchEvent> response) {
    watch(request)
      .onComplete(ar -> {
        if (ar.succeeded()) {
          ReadStream<org.celerygw.api.gen.operator.WatchEvent> stream = ar.result();
          stream.pipeTo(response);
        } else {
          // Todo
        }
      });
  }
}
