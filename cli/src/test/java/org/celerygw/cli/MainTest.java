package org.celerygw.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.celerygw.api.gen.operator.ConfigReply;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.daemon.settings.Settings;
import org.celerygw.standin.FreePorts;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class MainTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @BeforeMethod
    public void clear() {
        out.reset();
        err.reset();
    }

    @Test
    public void exampleSettingsAreValid() {
        assertEquals(run("config", "example"), 0);
        assertEquals(Settings.parse(text(out)).operators().size(), 2);
        String first = text(out);
        out.reset();
        assertEquals(run("settings", "example"), 0);
        assertEquals(text(out), first);
    }

    @Test
    public void exampleDocumentIsAcceptedByTheParser() {
        assertEquals(run("config", "example", "--document"), 0);
        assertEquals(ConfigDocument.parse(text(out)), ConfigDocument.example());
    }

    @Test
    public void unknownSubcommandExitsWithInvalidArgument() {
        assertEquals(run("program", "frobnicate"), ErrorCode.INVALID_ARGUMENT.exitCode());
        assertTrue(text(err).contains("frobnicate"), text(err));
    }

    @Test
    public void helpExitsWithZeroAndListsTheTools() {
        assertEquals(run("--help"), 0);
        assertTrue(CommandLine.newParser().formatHelp().contains("standin: run stand-ins"));
    }

    @Test
    public void missingKeyIsReportedAsATypedJsonError() {
        assertEquals(run("program", "list", "--json", "--key", ""), ErrorCode.INVALID_ARGUMENT.exitCode());
        JsonObject error = new JsonObject(text(err)).getJsonObject("error");
        assertEquals(error.getString("code"), "INVALID_ARGUMENT");
        assertEquals(error.getString("run_state"), "NOT_RUN");
        assertEquals(text(out), "");
    }

    @Test
    public void refusedConnectionIsReportedAsUnreachableAndNotRun() {
        int port = FreePorts.next();
        assertEquals(
                run("program", "end", "p", "--key", "hunter2", "--server", "127.0.0.1:" + port),
                UnreachableException.EXIT_CODE);
        assertTrue(text(err).startsWith("celerygw: UNREACHABLE (NOT_RUN): no connection to 127.0.0.1:"), text(err));
        assertFalse(text(err).contains("hunter2"), text(err));
    }

    @Test
    public void unreadableDocumentFileIsRejected() {
        assertEquals(run("config", "apply", "/no/such/file", "--key", "k"), ErrorCode.INVALID_ARGUMENT.exitCode());
        assertTrue(text(err).contains("/no/such/file cannot be read"), text(err));
    }

    @Test
    public void configDiffListsEntriesPresentOnOneSideOnly() {
        ConfigReply example = ConfigDocument.example();
        Configuration.Builder changed = example.getConfiguration().toBuilder();
        changed.getClassesBuilder(1).setRank(5);
        List<String> lines = ConfigDiff.between(example.getConfiguration(), changed.build());
        assertEquals(lines.size(), 2);
        assertTrue(lines.get(0).startsWith("- class { \"name\": \"batch\", \"rank\": 1"), lines.get(0));
        assertTrue(lines.get(1).startsWith("+ class { \"name\": \"batch\", \"rank\": 5"), lines.get(1));
    }

    @Test
    public void tableColumnsAreAligned() {
        new Output(new PrintStream(out, true, StandardCharsets.UTF_8), false)
                .printTable(List.of("A", "LONG"), List.of(Output.row("wide-cell", 1), Output.row("x", 22)));
        assertEquals(text(out), "A          LONG\nwide-cell  1\nx          22\n");
    }

    private int run(String... args) {
        return Main.run(
                List.of(args),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private static String text(ByteArrayOutputStream stream) {
        return stream.toString(StandardCharsets.UTF_8);
    }
}
