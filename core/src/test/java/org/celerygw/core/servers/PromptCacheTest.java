package org.celerygw.core.servers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Load pattern: programs share the first parts of their prompts. */
public class PromptCacheTest {
    private static final long NOW_MS = 1_000;
    private static final List<PromptPart> PARTS = List.of(new PromptPart("a", 2_000), new PromptPart("b", 500));

    private ServerSelector selector;
    private List<TrackedServer> engines;

    @BeforeMethod
    public void addEngines() {
        ServerList servers = new ServerList(s -> {});
        IntStream.range(0, 6)
                .forEach(i -> servers.put(new BackendServer("e" + i, "e", "127.0.0.1", 1, "z", "v1", 16, false, 1)));
        engines = servers.byService("e");
        selector = new ServerSelector("z", s -> {});
        selector.setServiceMs(service -> 200);
    }

    private TrackedServer select(String program) {
        return selector.selectEngine(engines, new Placement(program, "", Set.of(), 0, PARTS), NOW_MS)
                .orElseThrow();
    }

    private void learnPrefill() {
        IntStream.range(0, 100).forEach(i -> selector.prefillTimes().record(i % 2 * 2_000, 20 + i % 2 * 40));
    }

    @Test
    public void timePerTokenIsLearned() {
        learnPrefill();
        assertEquals(selector.prefillTimes().msPerToken(), 0.02, 0.002);
    }

    @Test
    public void partBehindMissingPartIsOfNoUse() {
        engines.get(0).promptCache().add(PARTS.subList(1, 2), NOW_MS);
        assertEquals(engines.get(0).promptCache().heldTokens(PARTS, NOW_MS), 0);
        engines.get(0).promptCache().add(PARTS.subList(0, 1), NOW_MS);
        assertEquals(engines.get(0).promptCache().heldTokens(PARTS, NOW_MS), 2_500);
    }

    /** Guards against engines that compute the same prompt again, and against one engine that gets all of its requests. */
    @Test
    public void engineThatHoldsThePromptIsPreferredUntilItIsLoaded() {
        engines.get(3).promptCache().add(PARTS, NOW_MS);
        assertTrue(IntStream.range(0, 50).anyMatch(i -> select("p" + i) != engines.get(3)), "nothing is learned yet");
        learnPrefill();
        IntStream.range(0, 50).forEach(i -> assertEquals(select("p" + i), engines.get(3)));
        IntStream.range(0, 14).forEach(i -> engines.get(3).requestStarted());
        IntStream.range(0, 50).forEach(i -> assertNotEquals(select("p" + i), engines.get(3)));
    }
}
