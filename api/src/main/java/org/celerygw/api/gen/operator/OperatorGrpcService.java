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
import io.vertx.grpc.server.StatusException;

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
public class OperatorGrpcService extends OperatorService implements Service {

  /**
   * Operator service name.
   */
  public static final ServiceName SERVICE_NAME = ServiceName.create("celerygw.operator", "Operator");

  /**
   * Operator service descriptor.
   */
  public static final Descriptors.ServiceDescriptor SERVICE_DESCRIPTOR = OperatorOuterClass.getDescriptor().findServiceByName("Operator");

  @Override
  public ServiceName name() {
    return SERVICE_NAME;
  }

  @Override
  public Descriptors.ServiceDescriptor descriptor() {
    return SERVICE_DESCRIPTOR;
  }

  @Override
  public void bind(GrpcServer server) {
    builder(this).bind(all()).build().bind(server);
  }

  /**
   * @return a service binding all methods of the given {@code service}
   */
  public static Service of(OperatorService service) {
    return builder(service).bind(all()).build();
  }

  /**
   * CreateProgram protobuf RPC server service method.
   */
  public static final ServiceMethod<org.celerygw.api.gen.operator.CreateProgramRequest, org.celerygw.api.gen.operator.ProgramReply> CreateProgram = ServiceMethod.server(
    SERVICE_NAME,
    "CreateProgram",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.CreateProgramRequest.newBuilder()));

  /**
   * EndProgram protobuf RPC server service method.
   */
  public static final ServiceMethod<org.celerygw.api.gen.operator.EndProgramRequest, org.celerygw.api.gen.operator.ProgramReply> EndProgram = ServiceMethod.server(
    SERVICE_NAME,
    "EndProgram",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.EndProgramRequest.newBuilder()));

  /**
   * ListPrograms protobuf RPC server service method.
   */
  public static final ServiceMethod<org.celerygw.api.gen.operator.ListProgramsRequest, org.celerygw.api.gen.operator.ListProgramsReply> ListPrograms = ServiceMethod.server(
    SERVICE_NAME,
    "ListPrograms",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ListProgramsRequest.newBuilder()));

  /**
   * ExplainProgram protobuf RPC server service method.
   */
  public static final ServiceMethod<org.celerygw.api.gen.operator.ExplainProgramRequest, org.celerygw.api.gen.operator.ExplainProgramReply> ExplainProgram = ServiceMethod.server(
    SERVICE_NAME,
    "ExplainProgram",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ExplainProgramRequest.newBuilder()));

  /**
   * SettleCall protobuf RPC server service method.
   */
  public static final ServiceMethod<org.celerygw.api.gen.operator.SettleCallRequest, org.celerygw.api.gen.operator.ProgramReply> SettleCall = ServiceMethod.server(
    SERVICE_NAME,
    "SettleCall",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.SettleCallRequest.newBuilder()));

  /**
   * GetConfig protobuf RPC server service method.
   */
  public static final ServiceMethod<org.celerygw.api.gen.operator.GetConfigRequest, org.celerygw.api.gen.operator.ConfigReply> GetConfig = ServiceMethod.server(
    SERVICE_NAME,
    "GetConfig",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.GetConfigRequest.newBuilder()));

  /**
   * AcceptConfig protobuf RPC server service method.
   */
  public static final ServiceMethod<org.celerygw.api.gen.operator.AcceptConfigRequest, org.celerygw.api.gen.operator.AcceptConfigReply> AcceptConfig = ServiceMethod.server(
    SERVICE_NAME,
    "AcceptConfig",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.AcceptConfigRequest.newBuilder()));

  /**
   * ConfigHistory protobuf RPC server service method.
   */
  public static final ServiceMethod<org.celerygw.api.gen.operator.ConfigHistoryRequest, org.celerygw.api.gen.operator.ConfigHistoryReply> ConfigHistory = ServiceMethod.server(
    SERVICE_NAME,
    "ConfigHistory",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ConfigHistoryRequest.newBuilder()));

  /**
   * ConfigStatus protobuf RPC server service method.
   */
  public static final ServiceMethod<org.celerygw.api.gen.operator.ConfigStatusRequest, org.celerygw.api.gen.operator.ConfigStatusReply> ConfigStatus = ServiceMethod.server(
    SERVICE_NAME,
    "ConfigStatus",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ConfigStatusRequest.newBuilder()));

  /**
   * ListHosts protobuf RPC server service method.
   */
  public static final ServiceMethod<org.celerygw.api.gen.operator.ListHostsRequest, org.celerygw.api.gen.operator.ListHostsReply> ListHosts = ServiceMethod.server(
    SERVICE_NAME,
    "ListHosts",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ListHostsRequest.newBuilder()));

  /**
   * DrainHost protobuf RPC server service method.
   */
  public static final ServiceMethod<org.celerygw.api.gen.operator.DrainHostRequest, org.celerygw.api.gen.operator.DrainHostReply> DrainHost = ServiceMethod.server(
    SERVICE_NAME,
    "DrainHost",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.DrainHostRequest.newBuilder()));

  /**
   * ListBackends protobuf RPC server service method.
   */
  public static final ServiceMethod<org.celerygw.api.gen.operator.ListBackendsRequest, org.celerygw.api.gen.operator.ListBackendsReply> ListBackends = ServiceMethod.server(
    SERVICE_NAME,
    "ListBackends",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ListBackendsRequest.newBuilder()));

  /**
   * DrainBackend protobuf RPC server service method.
   */
  public static final ServiceMethod<org.celerygw.api.gen.operator.DrainBackendRequest, org.celerygw.api.gen.operator.AcceptConfigReply> DrainBackend = ServiceMethod.server(
    SERVICE_NAME,
    "DrainBackend",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.DrainBackendRequest.newBuilder()));

  /**
   * ListActions protobuf RPC server service method.
   */
  public static final ServiceMethod<org.celerygw.api.gen.operator.ListActionsRequest, org.celerygw.api.gen.operator.ListActionsReply> ListActions = ServiceMethod.server(
    SERVICE_NAME,
    "ListActions",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.ListActionsRequest.newBuilder()));

  /**
   * Watch protobuf RPC server service method.
   */
  public static final ServiceMethod<org.celerygw.api.gen.operator.WatchRequest, org.celerygw.api.gen.operator.WatchEvent> Watch = ServiceMethod.server(
    SERVICE_NAME,
    "Watch",
    GrpcMessageEncoder.encoder(),
    GrpcMessageDecoder.decoder(org.celerygw.api.gen.operator.WatchRequest.newBuilder()));

  /**
   * @return a mutable list of the known protobuf RPC server service methods.
   */
  public static java.util.List<ServiceMethod<?, ?>> all() {
    java.util.List<ServiceMethod<?, ?>> all = new java.util.ArrayList<>();
    all.add(CreateProgram);
    all.add(EndProgram);
    all.add(ListPrograms);
    all.add(ExplainProgram);
    all.add(SettleCall);
    all.add(GetConfig);
    all.add(AcceptConfig);
    all.add(ConfigHistory);
    all.add(ConfigStatus);
    all.add(ListHosts);
    all.add(DrainHost);
    all.add(ListBackends);
    all.add(DrainBackend);
    all.add(ListActions);
    all.add(Watch);
    return all;
  }


  /**
   * @return a free form builder that gives the opportunity to bind only certain methods of a service
   */
  public static Builder builder(OperatorService service) {
    return new Builder(service);
  }

  /**
   * Service builder.
   */
  public static class Builder implements ServiceBuilder {

    private final List<ServiceMethod<?, ?>> serviceMethods = new ArrayList<>();
    private final OperatorService instance;

    private Builder(OperatorService instance) {
      this.instance = instance;
    }

//    private void validate() {
//      for (ServiceMethod<?, ?> serviceMethod : serviceMethods) {
//        if (resolveHandler(serviceMethod) == null) {
//          throw new IllegalArgumentException("Invalid service method:" + serviceMethod);
//        }
//      }
//    }

    /**
     * Throws {@code UnsupportedOperationException}.
     */
    public <Req, Resp> ServiceBuilder bind(ServiceMethod<Req, Resp> serviceMethod, Handler<GrpcServerRequest<Req, Resp>> handler) {
      throw new UnsupportedOperationException();
    }

    /**
     * @return this builder
     */
    public Builder bind(List<ServiceMethod<?, ?>> methods) {
      serviceMethods.addAll(methods);
      return this;
    }

    /**
     * @return this builder
     */
    public Builder bind(ServiceMethod<?, ?>... methods) {
      return bind(java.util.Arrays.asList(methods));
    }

    public Service build() {
      return new Invoker();
    }

    private class Invoker implements Service {

      // Defensive copy
      private final List<ServiceMethod<?, ?>> serviceMethods = new ArrayList<>(Builder.this.serviceMethods);

      public ServiceName name() {
        return SERVICE_NAME;
      }

      public Descriptors.ServiceDescriptor descriptor() {
        return SERVICE_DESCRIPTOR;
      }

      /**
       * Bind the contained service methods to the {@code server}.
       */
      public void bind(GrpcServer server) {
        for (ServiceMethod<?, ?> serviceMethod : serviceMethods) {
          bindHandler(serviceMethod, server);
        }
      }

      private <Req, Resp> void bindHandler(ServiceMethod<Req, Resp> serviceMethod, GrpcServer server) {
        Handler<io.vertx.grpc.server.GrpcServerRequest<Req, Resp>> handler = resolveHandler(serviceMethod);
        server.callHandler(serviceMethod, handler);
      }

      private <Req, Resp> Handler<io.vertx.grpc.server.GrpcServerRequest<Req, Resp>> resolveHandler(ServiceMethod<Req, Resp> serviceMethod) {
        if (CreateProgram == serviceMethod) {
          Handler<io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.CreateProgramRequest, org.celerygw.api.gen.operator.ProgramReply>> handler = this::handle_createProgram;
          Handler<?> handler2 = handler;
          return (Handler<io.vertx.grpc.server.GrpcServerRequest<Req, Resp>>) handler2;
        }
        if (EndProgram == serviceMethod) {
          Handler<io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.EndProgramRequest, org.celerygw.api.gen.operator.ProgramReply>> handler = this::handle_endProgram;
          Handler<?> handler2 = handler;
          return (Handler<io.vertx.grpc.server.GrpcServerRequest<Req, Resp>>) handler2;
        }
        if (ListPrograms == serviceMethod) {
          Handler<io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.ListProgramsRequest, org.celerygw.api.gen.operator.ListProgramsReply>> handler = this::handle_listPrograms;
          Handler<?> handler2 = handler;
          return (Handler<io.vertx.grpc.server.GrpcServerRequest<Req, Resp>>) handler2;
        }
        if (ExplainProgram == serviceMethod) {
          Handler<io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.ExplainProgramRequest, org.celerygw.api.gen.operator.ExplainProgramReply>> handler = this::handle_explainProgram;
          Handler<?> handler2 = handler;
          return (Handler<io.vertx.grpc.server.GrpcServerRequest<Req, Resp>>) handler2;
        }
        if (SettleCall == serviceMethod) {
          Handler<io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.SettleCallRequest, org.celerygw.api.gen.operator.ProgramReply>> handler = this::handle_settleCall;
          Handler<?> handler2 = handler;
          return (Handler<io.vertx.grpc.server.GrpcServerRequest<Req, Resp>>) handler2;
        }
        if (GetConfig == serviceMethod) {
          Handler<io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.GetConfigRequest, org.celerygw.api.gen.operator.ConfigReply>> handler = this::handle_getConfig;
          Handler<?> handler2 = handler;
          return (Handler<io.vertx.grpc.server.GrpcServerRequest<Req, Resp>>) handler2;
        }
        if (AcceptConfig == serviceMethod) {
          Handler<io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.AcceptConfigRequest, org.celerygw.api.gen.operator.AcceptConfigReply>> handler = this::handle_acceptConfig;
          Handler<?> handler2 = handler;
          return (Handler<io.vertx.grpc.server.GrpcServerRequest<Req, Resp>>) handler2;
        }
        if (ConfigHistory == serviceMethod) {
          Handler<io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.ConfigHistoryRequest, org.celerygw.api.gen.operator.ConfigHistoryReply>> handler = this::handle_configHistory;
          Handler<?> handler2 = handler;
          return (Handler<io.vertx.grpc.server.GrpcServerRequest<Req, Resp>>) handler2;
        }
        if (ConfigStatus == serviceMethod) {
          Handler<io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.ConfigStatusRequest, org.celerygw.api.gen.operator.ConfigStatusReply>> handler = this::handle_configStatus;
          Handler<?> handler2 = handler;
          return (Handler<io.vertx.grpc.server.GrpcServerRequest<Req, Resp>>) handler2;
        }
        if (ListHosts == serviceMethod) {
          Handler<io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.ListHostsRequest, org.celerygw.api.gen.operator.ListHostsReply>> handler = this::handle_listHosts;
          Handler<?> handler2 = handler;
          return (Handler<io.vertx.grpc.server.GrpcServerRequest<Req, Resp>>) handler2;
        }
        if (DrainHost == serviceMethod) {
          Handler<io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.DrainHostRequest, org.celerygw.api.gen.operator.DrainHostReply>> handler = this::handle_drainHost;
          Handler<?> handler2 = handler;
          return (Handler<io.vertx.grpc.server.GrpcServerRequest<Req, Resp>>) handler2;
        }
        if (ListBackends == serviceMethod) {
          Handler<io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.ListBackendsRequest, org.celerygw.api.gen.operator.ListBackendsReply>> handler = this::handle_listBackends;
          Handler<?> handler2 = handler;
          return (Handler<io.vertx.grpc.server.GrpcServerRequest<Req, Resp>>) handler2;
        }
        if (DrainBackend == serviceMethod) {
          Handler<io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.DrainBackendRequest, org.celerygw.api.gen.operator.AcceptConfigReply>> handler = this::handle_drainBackend;
          Handler<?> handler2 = handler;
          return (Handler<io.vertx.grpc.server.GrpcServerRequest<Req, Resp>>) handler2;
        }
        if (ListActions == serviceMethod) {
          Handler<io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.ListActionsRequest, org.celerygw.api.gen.operator.ListActionsReply>> handler = this::handle_listActions;
          Handler<?> handler2 = handler;
          return (Handler<io.vertx.grpc.server.GrpcServerRequest<Req, Resp>>) handler2;
        }
        if (Watch == serviceMethod) {
          Handler<io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.WatchRequest, org.celerygw.api.gen.operator.WatchEvent>> handler = this::handle_watch;
          Handler<?> handler2 = handler;
          return (Handler<io.vertx.grpc.server.GrpcServerRequest<Req, Resp>>) handler2;
        }
        return null;
      }


  private void handle_createProgram(io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.CreateProgramRequest, org.celerygw.api.gen.operator.ProgramReply> request) {
    request.handler(msg -> {
      instance.createProgram(msg, (res, err) -> {
        if (err == null) {
          request.response().end(res);
        } else {
          request.response().fail(err);
        }
      });
    });
  }

  private void handle_endProgram(io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.EndProgramRequest, org.celerygw.api.gen.operator.ProgramReply> request) {
    request.handler(msg -> {
      instance.endProgram(msg, (res, err) -> {
        if (err == null) {
          request.response().end(res);
        } else {
          request.response().fail(err);
        }
      });
    });
  }

  private void handle_listPrograms(io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.ListProgramsRequest, org.celerygw.api.gen.operator.ListProgramsReply> request) {
    request.handler(msg -> {
      instance.listPrograms(msg, (res, err) -> {
        if (err == null) {
          request.response().end(res);
        } else {
          request.response().fail(err);
        }
      });
    });
  }

  private void handle_explainProgram(io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.ExplainProgramRequest, org.celerygw.api.gen.operator.ExplainProgramReply> request) {
    request.handler(msg -> {
      instance.explainProgram(msg, (res, err) -> {
        if (err == null) {
          request.response().end(res);
        } else {
          request.response().fail(err);
        }
      });
    });
  }

  private void handle_settleCall(io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.SettleCallRequest, org.celerygw.api.gen.operator.ProgramReply> request) {
    request.handler(msg -> {
      instance.settleCall(msg, (res, err) -> {
        if (err == null) {
          request.response().end(res);
        } else {
          request.response().fail(err);
        }
      });
    });
  }

  private void handle_getConfig(io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.GetConfigRequest, org.celerygw.api.gen.operator.ConfigReply> request) {
    request.handler(msg -> {
      instance.getConfig(msg, (res, err) -> {
        if (err == null) {
          request.response().end(res);
        } else {
          request.response().fail(err);
        }
      });
    });
  }

  private void handle_acceptConfig(io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.AcceptConfigRequest, org.celerygw.api.gen.operator.AcceptConfigReply> request) {
    request.handler(msg -> {
      instance.acceptConfig(msg, (res, err) -> {
        if (err == null) {
          request.response().end(res);
        } else {
          request.response().fail(err);
        }
      });
    });
  }

  private void handle_configHistory(io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.ConfigHistoryRequest, org.celerygw.api.gen.operator.ConfigHistoryReply> request) {
    request.handler(msg -> {
      instance.configHistory(msg, (res, err) -> {
        if (err == null) {
          request.response().end(res);
        } else {
          request.response().fail(err);
        }
      });
    });
  }

  private void handle_configStatus(io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.ConfigStatusRequest, org.celerygw.api.gen.operator.ConfigStatusReply> request) {
    request.handler(msg -> {
      instance.configStatus(msg, (res, err) -> {
        if (err == null) {
          request.response().end(res);
        } else {
          request.response().fail(err);
        }
      });
    });
  }

  private void handle_listHosts(io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.ListHostsRequest, org.celerygw.api.gen.operator.ListHostsReply> request) {
    request.handler(msg -> {
      instance.listHosts(msg, (res, err) -> {
        if (err == null) {
          request.response().end(res);
        } else {
          request.response().fail(err);
        }
      });
    });
  }

  private void handle_drainHost(io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.DrainHostRequest, org.celerygw.api.gen.operator.DrainHostReply> request) {
    request.handler(msg -> {
      instance.drainHost(msg, (res, err) -> {
        if (err == null) {
          request.response().end(res);
        } else {
          request.response().fail(err);
        }
      });
    });
  }

  private void handle_listBackends(io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.ListBackendsRequest, org.celerygw.api.gen.operator.ListBackendsReply> request) {
    request.handler(msg -> {
      instance.listBackends(msg, (res, err) -> {
        if (err == null) {
          request.response().end(res);
        } else {
          request.response().fail(err);
        }
      });
    });
  }

  private void handle_drainBackend(io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.DrainBackendRequest, org.celerygw.api.gen.operator.AcceptConfigReply> request) {
    request.handler(msg -> {
      instance.drainBackend(msg, (res, err) -> {
        if (err == null) {
          request.response().end(res);
        } else {
          request.response().fail(err);
        }
      });
    });
  }

  private void handle_listActions(io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.ListActionsRequest, org.celerygw.api.gen.operator.ListActionsReply> request) {
    request.handler(msg -> {
      instance.listActions(msg, (res, err) -> {
        if (err == null) {
          request.response().end(res);
        } else {
          request.response().fail(err);
        }
      });
    });
  }

  private void handle_watch(io.vertx.grpc.server.GrpcServerRequest<org.celerygw.api.gen.operator.WatchRequest, org.celerygw.api.gen.operator.WatchEvent> request) {
    request.handler(msg -> {
      instance.watch(msg, request.response());
    });
  }
    }
  }
}
