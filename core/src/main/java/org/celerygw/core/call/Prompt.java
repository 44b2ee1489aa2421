package org.celerygw.core.call;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.List;

/**
 * The text of a model call's messages, with an estimate of its tokens and a hash for each leading block. Two prompts
 * share cached memory on an engine as far as their leading block hashes agree.
 *
 * @param text each message's role and content, a line break after either
 */
public record Prompt(String text) {
    /** The tokens of one block. */
    public static final int BLOCK_TOKENS = 64;

    private static final int TOKEN_CHARS = 4;
    private static final int BLOCK_CHARS = BLOCK_TOKENS * TOKEN_CHARS;
    private static final HashFunction HASH = Hashing.murmur3_128(0);

    /**
     * Returns this prompt followed by one more message.
     *
     * @param role the message's role
     * @param content the message's content
     * @return the longer prompt
     */
    public Prompt with(String role, String content) {
        return new Prompt(text + role + '\n' + content + '\n');
    }

    /**
     * Returns an estimate of the tokens: one for every four characters.
     *
     * @return the tokens, rounded up
     */
    public int tokens() {
        return (text.length() + TOKEN_CHARS - 1) / TOKEN_CHARS;
    }

    /**
     * Returns a hash for each whole leading block, each over all that precedes it.
     *
     * @return the hashes, the first block's first
     */
    public List<Long> blockHashes() {
        List<Long> hashes = new ArrayList<>(text.length() / BLOCK_CHARS);
        long previous = 0;
        for (int end = BLOCK_CHARS; end <= text.length(); end += BLOCK_CHARS) {
            previous = HASH.newHasher(BLOCK_CHARS * 2 + Long.BYTES)
                    .putLong(previous)
                    .putUnencodedChars(text.substring(end - BLOCK_CHARS, end))
                    .hash()
                    .asLong();
            hashes.add(previous);
        }
        return List.copyOf(hashes);
    }
}
