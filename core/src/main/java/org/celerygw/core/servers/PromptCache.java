package org.celerygw.core.servers;

import java.util.List;
import java.util.Map;
import org.celerygw.core.helper.LruMap;

/** The shared parts of prompts that one engine probably holds, by what this host has sent to it. Not thread-safe. */
public final class PromptCache {
    private static final int MAX_PARTS = 200;
    private static final long MAX_AGE_MS = 60_000;

    private final Map<String, Long> sentAtMs = new LruMap<>(MAX_PARTS);

    /**
     * Records that a prompt is sent to the engine.
     *
     * @param parts the shared parts of the prompt, in their order
     * @param nowMs the current time, in ms
     */
    public void add(List<PromptPart> parts, long nowMs) {
        parts.forEach(part -> sentAtMs.put(part.id(), nowMs));
    }

    /**
     * Returns how much of a prompt the engine need not compute: a part is of use only behind all parts before it.
     *
     * @param parts the shared parts of the prompt, in their order
     * @param nowMs the current time, in ms
     * @return the length of the first parts that it probably holds, in tokens
     */
    public long heldTokens(List<PromptPart> parts, long nowMs) {
        long tokens = 0;
        for (PromptPart part : parts) {
            Long atMs = sentAtMs.get(part.id());
            if (atMs == null || nowMs - atMs > MAX_AGE_MS) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }
}
