package org.celerygw.daemon.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Path;
import java.util.List;
import org.celerygw.core.owner.OwnerSettings;
import org.testng.annotations.Test;

public class SettingsTest {
    private static final String MINIMAL = """
            [host]
            name = a
            zone = z
            [listen]
            address = 127.0.0.1
            [store]
            uri = http://127.0.0.1:1
            [gossip]
            keys = 1:0123456789abcdef
            [peer]
            key = 0123456789abcdef
            """;

    @Test
    public void exampleIsValid() {
        Settings settings = Settings.parse(Settings.example());
        assertEquals(settings.operators().size(), 2);
        assertEquals(settings.journal(), OwnerSettings.DEFAULT);
        assertEquals(settings.advertiseAddress(), "127.0.0.1");
    }

    @Test
    public void absentKeysTakeDefaults() {
        Settings settings = Settings.parse(MINIMAL);
        assertEquals(settings.journal(), OwnerSettings.DEFAULT);
        assertEquals(settings.listen().maxBodyBytes(), 4 << 20);
        assertEquals(settings.advertiseAddress(), "127.0.0.1");
        assertTrue(settings.tls().isEmpty());
    }

    @Test
    public void allProblemsAreReportedWithSectionKeyAndLine() {
        String text = MINIMAL.replace("name = a\n", "").replace("zone = z", "zone = z\ncolour = red")
                + "[journal]\nlease = 6\nheartbeat = 1500 ms\ninline-bytes = 64KB\nbatch-records = 0\n"
                + "retention =\n[extra]\nx = 1\n";
        assertEquals(
                problemsOf(text),
                List.of(
                        "[host] name: is missing",
                        "line 3: [host] colour: is not a known key",
                        "line 13: [journal] lease: must be a duration with a unit (ms, s, m, h, d) from 100ms to 600000ms",
                        "line 14: [journal] heartbeat: must be a duration with a unit (ms, s, m, h, d) from 20ms to 60000ms",
                        "line 15: [journal] inline-bytes: must be a size with a unit (B, KiB, MiB) from 0B to 1048576B",
                        "line 16: [journal] batch-records: must be a whole number from 1 to 100000",
                        "line 17: [journal] retention: has no value",
                        "line 18: [extra]: is not a known section"));
    }

    @Test
    public void duplicateKeyIsRejected() {
        assertEquals(
                problemsOf(MINIMAL + "[log]\nlevel = info\nlevel = debug\n"),
                List.of("line 14: [log] level: is set twice"));
    }

    @Test
    public void leaseShorterThanThreeHeartbeatsIsRejected() {
        assertEquals(
                problemsOf(MINIMAL + "[journal]\nlease = 2s\nheartbeat = 1s\n"),
                List.of("line 13: [journal] lease: must be at least three times the heartbeat"));
    }

    @Test
    public void wildcardAddressRequiresAnAdvertisedAddress() {
        assertEquals(
                problemsOf(MINIMAL.replace("127.0.0.1\n[store]", "0.0.0.0\n[store]")),
                List.of("[advertise] address: is missing; peers cannot reach the host at 0.0.0.0"));
    }

    @Test
    public void unreadableFilesAreReportedByPath() {
        assertEquals(
                problemsOf(MINIMAL + "[tls]\ncertificate = /no/such.crt\nprivate-key = /no/such.key\n"),
                List.of(
                        "line 13: [tls] certificate: refers to a file that cannot be read: /no/such.crt",
                        "line 14: [tls] private-key: refers to a file that cannot be read: /no/such.key"));
        SettingsException e = expectThrows(SettingsException.class, () -> Settings.load(Path.of("/no/such.ini")));
        assertTrue(e.getMessage().contains("cannot read the file /no/such.ini"), e.getMessage());
    }

    @Test
    public void emptyCertificateDoesNotDisableTls() {
        assertEquals(
                problemsOf(MINIMAL + "[tls]\ncertificate =\nprivate-key =\n"),
                List.of("line 13: [tls] certificate: has no value", "line 14: [tls] private-key: has no value"));
    }

    @Test
    public void keysAppearNeitherInErrorsNorInSettingsToString() {
        String text = MINIMAL.replace("1:0123456789abcdef", "1:hunter2").replace("key = 0123456789abcdef", "key = pa55")
                + "[operators]\nolga = operator:cleartext-key\n";
        String message = String.join("\n", problemsOf(text));
        assertEquals(problemsOf(text).size(), 3);
        assertFalse(message.contains("hunter2") || message.contains("pa55") || message.contains("cleartext"), message);
        assertFalse(Settings.parse(MINIMAL).toString().contains("0123456789abcdef"));
    }

    private static List<String> problemsOf(String text) {
        return expectThrows(SettingsException.class, () -> Settings.parse(text)).problems().stream()
                .map(Problem::toString)
                .toList();
    }
}
