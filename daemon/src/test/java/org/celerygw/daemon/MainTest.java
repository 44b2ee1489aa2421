package org.celerygw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.celerygw.daemon.settings.Settings;
import org.testng.annotations.Test;

public class MainTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    @Test
    public void checkAcceptsTheExampleWithoutStartingTheDaemon() throws IOException {
        assertEquals(run("--check", writeTempFile(Settings.example())), 0);
    }

    @Test
    public void checkPrintsEveryProblemAndExitsWithTheInvalidArgumentCode() throws IOException {
        out.reset();
        assertEquals(run("--check", writeTempFile("[host]\nname = a b\n[what]\n")), 2);
        String text = out.toString(StandardCharsets.UTF_8);
        assertTrue(text.contains("settings: line 2: [host] name: name may hold letters"), text);
        assertTrue(text.contains("[store] uri: is missing"), text);
        assertTrue(text.contains("line 3: [what]: is not a known section"), text);
    }

    @Test
    public void unknownOptionExitsWithTheInvalidArgumentCode() {
        assertEquals(run("--frobnicate"), 2);
    }

    @Test
    public void validSettingsArePassedToTheStarter() throws IOException {
        assertEquals(run(writeTempFile(Settings.example())), 42);
    }

    private int run(String... args) {
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        return Main.run(args, stream, stream, settings -> 42);
    }

    private static String writeTempFile(String text) throws IOException {
        Path file = Files.createTempFile("celerygw", ".ini");
        file.toFile().deleteOnExit();
        return Files.writeString(file, text).toString();
    }
}
