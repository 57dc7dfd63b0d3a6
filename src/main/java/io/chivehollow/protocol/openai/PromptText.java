package io.chivehollow.protocol.openai;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.google.common.hash.HashCode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.chivehollow.base.PrefixBlock;

/**
 * Estimates the length of a prompt and hashes its blocks.
 *
 * <p>Stateless and thread-safe. The gateway has no tokenizer; the engine reports the true number of tokens.
 */
public final class PromptText {

    /** Average number of UTF-8 bytes per token for English text with a byte-pair encoding. */
    static final int BYTES_PER_TOKEN = 4;

    /** Number of tokens that a chat template adds to each message. */
    static final int TOKENS_PER_MESSAGE = 4;

    /** Largest number of hashes per request, which bounds the size of its frames; covers prompts of 32,768 tokens. */
    private static final int MAX_PREFIX_HASHES = 128;

    private static final int BLOCK_BYTES = PrefixBlock.TOKENS * BYTES_PER_TOKEN;
    private static final HashFunction HASH = Hashing.sipHash24();

    private PromptText() {}

    /** Returns the estimated number of tokens of the text, rounded up. */
    static int estimateTokens(String text) {
        int bytes = text.getBytes(StandardCharsets.UTF_8).length;
        return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }

    /**
     * Returns chained hashes of the complete blocks of the prompt.
     *
     * <p>Equal hashes at a position mean the same model and equal text up to the end of that block.
     */
    static List<Long> prefixHashes(String model, String prompt) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        List<Long> hashes = new ArrayList<>();
        long previous = HASH.hashString(model, StandardCharsets.UTF_8).asLong();
        for (int start = 0;
                start + BLOCK_BYTES <= bytes.length && hashes.size() < MAX_PREFIX_HASHES;
                start += BLOCK_BYTES) {
            HashCode hash = HASH.newHasher()
                    .putLong(previous)
                    .putBytes(bytes, start, BLOCK_BYTES)
                    .hash();
            previous = hash.asLong();
            hashes.add(previous);
        }
        return hashes;
    }
}
