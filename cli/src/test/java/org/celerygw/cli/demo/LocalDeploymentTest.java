package org.celerygw.cli.demo;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.celerygw.cli.load.Caller;
import org.celerygw.cli.load.LoadRun;
import org.celerygw.cli.load.ProgramResult;
import org.celerygw.cli.load.StandinClient;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.standin.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LocalDeploymentTest {
    private static final long RETRY_WINDOW_MS = 120_000;
    private static final String FAST_STOP_SETTINGS = "[stop]\nbalancer-grace = 500ms\nlimit = 2m";

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private LocalDeployment deployment;
    private Caller caller;

    @BeforeMethod
    public void start() {
        deployment = LocalDeployment.start(3, 2, FAST_STOP_SETTINGS);
        caller = new Caller(deployment.vertx(), deployment.hostUris(), LocalDeployment.CALLER_KEY, RETRY_WINDOW_MS);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        deployment.close();
    }

    @Test
    public void killedHostLosesNoProgramAndRunsNoUnrepeatableCallTwice() {
        assertNoViolations(runPrograms("kill-", 4, 2, () -> {
            LocalDeployment.pause(1_000);
            LocalDeployment.await(deployment.daemon(2).kill());
        }));
    }

    @Test
    public void plannedStopCutsOffNoRequest() {
        assertNoViolations(runPrograms("stop-", 4, 2, () -> {
            LocalDeployment.pause(1_000);
            LocalDeployment.await(deployment.daemon(1).stop());
        }));
        assertEquals(caller.cutOffCount(), 0);
    }

    @Test
    public void lostToolAndStoreResponsesCauseNoSecondExecution() {
        deployment.standin().tools().faults().injectNext(Fault.LOST_ANSWER, 2);
        deployment.standin().store().faults().injectNext(Fault.LOST_ANSWER, 3);
        assertNoViolations(runPrograms("lost-", 4, 1, () -> {}));
    }

    @Test
    public void leavingEngineReceivesNoNewCalls() {
        Configuration.Builder changedConfig = DemoConfig.forStandin(deployment.standin()).toBuilder();
        changedConfig.getBackendsBuilder(0).setLeaving(true);
        long version = deployment.acceptConfig(changedConfig.build(), 1);
        waitForVersion(version);
        long completionsBefore = deployment.standin().engine(0).completionCount();
        assertNoViolations(runPrograms("leave-", 3, 1, () -> {}));
        assertEquals(deployment.standin().engine(0).completionCount(), completionsBefore);
    }

    @Test
    public void configUpdateWithStaleVersionIsRejectedWithConflict() {
        Configuration configuration = DemoConfig.forStandin(deployment.standin());
        assertEquals(deployment.acceptConfig(configuration, 1), 2);
        GatewayException conflict =
                expectThrows(GatewayException.class, () -> deployment.acceptConfig(configuration, 1));
        assertEquals(conflict.code(), ErrorCode.CONFLICT);
        waitForVersion(2);
        IntStream.range(0, 3)
                .forEach(i -> assertTrue(
                        deployment.configStatus(i).getHostsList().stream().allMatch(h -> h.getVersion() == 2)));
    }

    private List<ProgramResult> runPrograms(String prefix, int declarations, int sessions, Runnable duringRun) {
        return createLoadRun(prefix, declarations, sessions).run(duringRun);
    }

    private LoadRun createLoadRun(String prefix, int declarations, int sessions) {
        return new LoadRun(
                caller,
                LoadRun.createScripts(prefix, declarations, sessions),
                new PrintStream(output, true, StandardCharsets.UTF_8));
    }

    private void assertNoViolations(List<ProgramResult> results) {
        StandinClient backends = new StandinClient(deployment.vertx(), deployment.toolsUri(), deployment.engineUris());
        int exitCode = createLoadRun("audit-", 1, 0)
                .audit(results, backends, body -> deployment.standin().engine(0).expectedAnswer(new JsonObject(body)));
        assertEquals(exitCode, 0, output.toString(StandardCharsets.UTF_8));
    }

    private void waitForVersion(long version) {
        while (!deployment.configStatus(0).getHostsList().stream().allMatch(h -> h.getVersion() == version)) {
            LocalDeployment.pause(50);
        }
    }
}
