package org.celerygw.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.celerygw.core.error.ErrorCode;
import org.testng.annotations.Test;

public final class ExplainToolTest {
    private static final String LOGS = """
            1.2 host-b {"timestamp":2010,"message":"end: answered","kvpList":[{"request":"r1"},{"program":"p"}]}
            1.1 host-a {"timestamp":2000,"message":"route: sent to a server","kvpList":[{"request":"r1"},{"server":"s"}]}
            1.1 host-a {"timestamp":2001,"message":"route: sent to a server","kvpList":[{"request":"r12"}]}
            no json r1
            {"broken": r1
            """;

    @Test
    public void printsOnlyTheRequestsLinesInOrderOfTime() throws IOException {
        Path file = Files.createTempFile("explain", ".log");
        Files.writeString(file, LOGS);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int code = ExplainTool.run(List.of("r1", file.toString()), new PrintStream(out, true, StandardCharsets.UTF_8));
        String[] lines = out.toString(StandardCharsets.UTF_8).split("\n");
        assertEquals(code, 0);
        assertEquals(lines.length, 2);
        assertEquals(lines[0], "    +0 ms  1.1 host-a route: sent to a server  request=r1 server=s");
        assertEquals(lines[1], "   +10 ms  1.2 host-b end: answered  request=r1 program=p");
        assertEquals(
                ExplainTool.run(List.of("absent", file.toString()), new PrintStream(new ByteArrayOutputStream())),
                ErrorCode.NOT_FOUND.exitCode());
        assertTrue(Files.deleteIfExists(file));
    }
}
