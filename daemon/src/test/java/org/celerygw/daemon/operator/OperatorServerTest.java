package org.celerygw.daemon.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.client.GrpcClientResponse;
import io.vertx.grpc.common.GrpcStatus;
import io.vertx.grpc.common.ServiceMethod;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.celerygw.api.gen.operator.AcceptConfigReply;
import org.celerygw.api.gen.operator.AcceptConfigRequest;
import org.celerygw.api.gen.operator.Action;
import org.celerygw.api.gen.operator.CreateProgramRequest;
import org.celerygw.api.gen.operator.EndProgramRequest;
import org.celerygw.api.gen.operator.ListProgramsRequest;
import org.celerygw.api.gen.operator.OperatorGrpcClient;
import org.celerygw.api.gen.operator.SettleCallRequest;
import org.celerygw.api.gen.operator.WatchEvent;
import org.celerygw.api.gen.operator.WatchRequest;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.daemon.metrics.Metrics;
import org.celerygw.daemon.settings.Settings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class OperatorServerTest {
    private static final String OPERATOR = "Bearer operator-example-key";
    private static final String MONITOR = "Bearer monitor-example-key";
    private static final CreateProgramRequest CREATE = CreateProgramRequest.newBuilder()
            .setProgram("p1")
            .setCustomer("litoral")
            .build();

    private Vertx vertx;
    private FakeControl control;
    private OperatorServer server;
    private GrpcClient client;
    private int port;

    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx();
        control = new FakeControl();
        Settings settings = Settings.parse(Settings.example()
                .replace("address = 0.0.0.0", "address = 127.0.0.1")
                .replace("operator-port = 8081", "operator-port = 0"));
        server = new OperatorServer(vertx, settings, control, () -> 1_234, new Metrics());
        port = server.listen().await();
        client = GrpcClient.client(vertx);
    }

    @AfterMethod
    public void stop() {
        client.close().await();
        server.close().await();
        vertx.close().await();
    }

    @Test
    public void aChangeIsRecordedBeforeAndAfterWithWhoWhenAndVersion() {
        assertEquals(call(OPERATOR, OperatorGrpcClient.CreateProgram, CREATE).status, GrpcStatus.OK);
        assertEquals(control.programs, List.of("p1"));
        assertEquals(control.actions.size(), 2);
        Action asked = control.actions.get(0);
        assertEquals(asked.getActor() + " " + asked.getAtMs() + " " + asked.getConfigVersion(), "olga 1234 7");
        assertEquals(asked.getAction() + " " + asked.getResult(), "CreateProgram asked");
        assertEquals(asked.getDetail(), "program p1 customer litoral budgetTokens 0");
        assertEquals(control.actions.get(1), asked.toBuilder().setResult("done").build());
    }

    @Test
    public void theMonitorReadsAndChangesNothing() {
        assertEquals(
                call(MONITOR, OperatorGrpcClient.ListPrograms, ListProgramsRequest.getDefaultInstance()).status,
                GrpcStatus.OK);
        Answer refused = call(MONITOR, OperatorGrpcClient.CreateProgram, CREATE);
        assertEquals(refused.status, GrpcStatus.PERMISSION_DENIED);
        assertEquals(refused.typed, "PERMISSION_DENIED NOT_RUN 0");
        assertTrue(control.programs.isEmpty() && control.actions.isEmpty());
    }

    @Test
    public void missingAndUnknownKeysAreRefusedWithoutRepeatingThem() {
        assertEquals(call("", OperatorGrpcClient.CreateProgram, CREATE).typed, "UNAUTHENTICATED NOT_RUN 0");
        Answer unknown = call("Bearer hunter2", OperatorGrpcClient.CreateProgram, CREATE);
        assertEquals(unknown.typed, "UNAUTHENTICATED NOT_RUN 0");
        assertFalse(unknown.message.contains("hunter2"), unknown.message);
        assertTrue(control.programs.isEmpty() && control.actions.isEmpty());
    }

    @Test
    public void malformedChangeIsRefusedBeforeItIsRecorded() {
        Answer refused = call(
                OPERATOR,
                OperatorGrpcClient.CreateProgram,
                CREATE.toBuilder().setProgram("a b").build());
        assertEquals(refused.typed, "INVALID_ARGUMENT NOT_RUN 0");
        assertTrue(control.actions.isEmpty());
    }

    @Test
    public void aChangeThatCannotBeRecordedDoesNotRun() {
        control.storeDown = true;
        assertEquals(call(OPERATOR, OperatorGrpcClient.CreateProgram, CREATE).typed, "STORE_UNAVAILABLE NOT_RUN 1000");
        assertTrue(control.programs.isEmpty());
    }

    @Test
    public void aFailedChangeIsRecordedWithItsCode() {
        EndProgramRequest end = EndProgramRequest.newBuilder().setProgram("p9").build();
        assertEquals(call(OPERATOR, OperatorGrpcClient.EndProgram, end).typed, "NOT_FOUND NOT_RUN 0");
        assertEquals(control.actions.get(1).getResult(), "NOT_FOUND");
    }

    @Test
    public void anInternalFaultTellsNothingOfItsCause() {
        SettleCallRequest settle =
                SettleCallRequest.newBuilder().setProgram("p").setCall(1).build();
        Answer failed = call(OPERATOR, OperatorGrpcClient.SettleCall, settle);
        assertEquals(failed.typed, "INTERNAL UNKNOWN 0");
        assertEquals(failed.message, "an internal fault; see the host's log");
    }

    @Test
    public void ofTwoRacingOperatorsOneWinsAndTheOtherSeesTheWinner() {
        AcceptConfigRequest change = AcceptConfigRequest.newBuilder()
                .setSeenVersion(7)
                .setConfiguration(Configuration.getDefaultInstance())
                .build();
        List<AcceptConfigReply> replies = Future.all(
                        send(OPERATOR, OperatorGrpcClient.AcceptConfig, change),
                        send(OPERATOR, OperatorGrpcClient.AcceptConfig, change))
                .await()
                .<Answer>list()
                .stream()
                .map(answer -> (AcceptConfigReply) answer.reply)
                .toList();
        AcceptConfigReply loser = replies.stream()
                .filter(AcceptConfigReply::getConflict)
                .findFirst()
                .orElseThrow();
        assertEquals(replies.stream().filter(AcceptConfigReply::getConflict).count(), 1);
        assertEquals(loser.getTheirs().getVersion(), 8);
        assertEquals(loser.getTheirs().getActor(), "olga");
        assertEquals(
                control.actions.stream().map(Action::getResult).sorted().toList(),
                List.of("CONFLICT", "asked", "asked", "done"));
    }

    @Test
    public void watchSendsLinesOfTheAskedPartAndStopsWithTheWatcher() throws InterruptedException {
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        GrpcClientResponse<WatchRequest, WatchEvent> response = client.request(address(), OperatorGrpcClient.Watch)
                .compose(request -> {
                    request.headers().set("authorization", MONITOR);
                    return request.send(
                            WatchRequest.newBuilder().setPrefix("route:").build());
                })
                .await();
        response.handler(event -> lines.add(event.getLine()));
        List<String> logged = List.of("lease: slot 1 taken.", "route: p1#1 to e1.");
        logged.forEach(line -> control.watchers.forEach(
                watcher -> watcher.accept(WatchEvent.newBuilder().setLine(line).build())));
        assertEquals(lines.poll(20, TimeUnit.SECONDS), "route: p1#1 to e1.");
        client.close().await();
        for (int i = 0; i < 1_000 && !control.watchers.isEmpty(); i++) {
            Thread.sleep(10);
        }
        assertTrue(control.watchers.isEmpty());
    }

    @Test
    public void watchNeedsAKey() {
        assertEquals(
                call("Bearer x", OperatorGrpcClient.Watch, WatchRequest.getDefaultInstance()).typed,
                "UNAUTHENTICATED NOT_RUN 0");
        assertTrue(control.watchers.isEmpty());
    }

    private record Answer(Object reply, GrpcStatus status, String message, String typed) {}

    private <Q, R> Answer call(String authorization, ServiceMethod<R, Q> method, Q message) {
        return send(authorization, method, message).await();
    }

    private <Q, R> Future<Answer> send(String authorization, ServiceMethod<R, Q> method, Q message) {
        return client.request(address(), method)
                .compose(request -> {
                    if (!authorization.isEmpty()) {
                        request.headers().set("authorization", authorization);
                    }
                    return request.send(message);
                })
                .compose(response -> response.last()
                        .otherwise(e -> null)
                        .compose(reply -> response.end().otherwise(e -> null).map(v -> answer(response, reply))));
    }

    private static <Q, R> Answer answer(GrpcClientResponse<Q, R> response, R reply) {
        var fields = response.trailers().contains("celerygw-code") ? response.trailers() : response.headers();
        String typed = fields.get("celerygw-code") + " " + fields.get("celerygw-run-state") + " "
                + fields.get("celerygw-retry-after-ms");
        return new Answer(reply, response.status(), String.valueOf(response.statusMessage()), typed);
    }

    private SocketAddress address() {
        return SocketAddress.inetSocketAddress(port, "127.0.0.1");
    }
}
