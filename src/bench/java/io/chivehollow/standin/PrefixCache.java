package io.chivehollow.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;

/**
 * Prompt prefix cache of a simulated engine; evicts the least recently used blocks.
 *
 * <p>Not thread-safe. Never exceeds its capacity. Cache events become visible after {@code metricsLagMs}; every
 * {@code eventGap}-th event is lost.
 */
final class PrefixCache {

    /** Characters that the simulated tokenizer turns into one token. */
    static final int CHARS_PER_TOKEN = 4;

    private final EngineOptions options;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final List<ObjectNode> events = new ArrayList<>();
    private final List<Long> eventTimesMs = new ArrayList<>();

    PrefixCache(EngineOptions options) {
        this.options = options;
    }

    /** Returns the number of tokens of a prompt, at least 1. */
    static int countTokens(String prompt) {
        return Math.max(1, (prompt.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN);
    }

    /** Returns the number of tokens in the leading full blocks of the prompt that are cached. */
    int cachedTokens(String prompt) {
        int cached = 0;
        for (long hash : blockHashes(prompt)) {
            if (blocks.get(hash) == null) {
                break;
            }
            cached += options.blockTokens();
        }
        return cached;
    }

    /** Caches all full blocks of the prompt, then evicts blocks beyond the capacity. */
    void store(String prompt, long nowMs) {
        for (long hash : blockHashes(prompt)) {
            if (blocks.put(hash, Boolean.TRUE) == null) {
                addEvent("stored", hash, nowMs);
            }
        }
        Iterator<Long> oldest = blocks.keySet().iterator();
        while (blocks.size() > options.cacheBlocks()) {
            long hash = oldest.next();
            oldest.remove();
            addEvent("removed", hash, nowMs);
        }
    }

    /** Returns the events that are visible at {@code nowMs} and have a sequence number of at least {@code since}. */
    List<ObjectNode> eventsSince(long since, long nowMs) {
        List<ObjectNode> result = new ArrayList<>();
        for (int i = (int) Math.max(0, since); i < events.size(); i++) {
            boolean isPublished = eventTimesMs.get(i) + options.metricsLagMs() * options.timeScale() <= nowMs;
            boolean isLost = options.eventGap() > 0 && (i + 1) % options.eventGap() == 0;
            if (isPublished && !isLost) {
                result.add(events.get(i));
            }
        }
        return result;
    }

    private void addEvent(String kind, long hash, long nowMs) {
        events.add(StandInJson.newObject()
                .put("sequence", events.size())
                .put("kind", kind)
                .put("block_hash", Long.toHexString(hash)));
        eventTimesMs.add(nowMs);
    }

    /** Returns one hash for each full block; a hash covers the prompt up to the end of its block. */
    private List<Long> blockHashes(String prompt) {
        int blockChars = options.blockTokens() * CHARS_PER_TOKEN;
        List<Long> result = new ArrayList<>();
        for (int end = blockChars; end <= prompt.length(); end += blockChars) {
            result.add(Hashing.sha256()
                    .hashString(prompt.substring(0, end), StandardCharsets.UTF_8)
                    .asLong());
        }
        return result;
    }
}
