package org.celerygw.standin.world;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Stream;
import org.celerygw.core.error.GatewayException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that every script in scenarios/ passes and that errors name the file and line. */
public class ScenarioTest {
    @DataProvider
    Iterator<Object[]> scripts() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("..", "scenarios"))) {
            List<Object[]> scripts = files.filter(f -> f.toString().endsWith(".scn"))
                    .sorted()
                    .map(f -> new Object[] {f})
                    .toList();
            return scripts.iterator();
        }
    }

    @Test(dataProvider = "scripts")
    public void scriptPasses(Path script) throws IOException {
        assertFalse(Scenario.run(script).isEmpty());
    }

    @Test
    public void invalidLineIsReportedWithFileLineAndReason() {
        GatewayException e = expectThrows(GatewayException.class, () -> Scenario.run("x.scn", "host a\n\nfly b\n"));
        assertEquals(e.getMessage(), "x.scn:3: unknown command fly");
        assertThrows(GatewayException.class, () -> Scenario.run("x.scn", "run soon"));
        assertThrows(GatewayException.class, () -> Scenario.run("x.scn", "call nobody"));
    }
}
