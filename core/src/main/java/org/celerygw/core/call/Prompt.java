package org.celerygw.core.call;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.List;

/**
 * The text of the messages of a model call, with an estimate of its tokens and a hash for each leading block. Two
 * prompts share cache entries on an engine as far as their leading block hashes are equal.
 *
 * @param text the role and content of each message, each followed by a line feed
 */
public record Prompt(String text) {
    /** Size of a block, in estimated tokens. */
    public static final int BLOCK_TOKENS = 64;

    private static final int CHARS_PER_TOKEN = 4;
    private static final int BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN;
    private static final HashFunction HASH = Hashing.murmur3_128(0);

    /**
     * Returns this prompt with one more message appended.
     *
     * @param role the message's role
     * @param content the message's content
     * @return a new prompt
     */
    public Prompt withMessage(String role, String content) {
        return new Prompt(text + role + '\n' + content + '\n');
    }

    /**
     * Returns the estimated number of tokens: one for every four characters.
     *
     * @return the number of tokens, rounded up
     */
    public int estimatedTokens() {
        return (text.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
    }

    /**
     * Returns a hash for each complete leading block, each covering all blocks up to it.
     *
     * @return the hashes in the order of the blocks
     */
    public List<Long> blockHashes() {
        List<Long> hashes = new ArrayList<>(text.length() / BLOCK_CHARS);
        long previousHash = 0;
        for (int end = BLOCK_CHARS; end <= text.length(); end += BLOCK_CHARS) {
            previousHash = HASH.newHasher(BLOCK_CHARS * 2 + Long.BYTES)
                    .putLong(previousHash)
                    .putUnencodedChars(text.substring(end - BLOCK_CHARS, end))
                    .hash()
                    .asLong();
            hashes.add(previousHash);
        }
        return List.copyOf(hashes);
    }
}
