package io.chivehollow.coordination.sidecar;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.google.common.collect.Lists;
import io.chivehollow.base.PrefixBlock;
import io.chivehollow.protocol.wire.RequestInfo;

/**
 * Stores the hashes of prompt prefixes that the engine has probably cached, based on the prefills that it has computed.
 *
 * <p>Used on the sidecar's event loop. The sidecar does not need the cache events of the engine, which arrive late and
 * with gaps, because every prefill passes through the sidecar. Stores at most its capacity of hashes and evicts the
 * least recently used ones first.
 */
final class PrefixIndex {

    /** Far more prefix hashes than the cache of an engine holds; each takes some tens of bytes. */
    private static final int DEFAULT_CAPACITY = 4_096;

    private final int capacity;
    private final Map<Long, Boolean> hashes = new LinkedHashMap<>(16, 0.75f, true);

    PrefixIndex(int capacity) {
        this.capacity = capacity;
    }

    /** Returns an empty index of the default capacity. */
    static PrefixIndex create() {
        return new PrefixIndex(DEFAULT_CAPACITY);
    }

    /** Returns the length of the prompt's probably cached prefix in tokens. */
    int cachedTokens(RequestInfo request) {
        long tokens = (long) cachedPrefixLength(request.getPrefixHashesList()) * PrefixBlock.TOKENS;
        return (int) Math.min(tokens, request.getPromptTokens());
    }

    /** Returns how many leading hashes are in the index. */
    int cachedPrefixLength(List<Long> prefixHashes) {
        int length = 0;
        while (length < prefixHashes.size() && hashes.containsKey(prefixHashes.get(length))) {
            length++;
        }
        return length;
    }

    /** Adds the hashes so that the end of a prefix is evicted before its start, without which the end is useless. */
    void add(List<Long> prefixHashes) {
        for (Long hash : Lists.reverse(prefixHashes)) {
            hashes.put(hash, Boolean.TRUE);
        }
        Iterator<Long> iterator = hashes.keySet().iterator();
        while (hashes.size() > capacity) {
            iterator.next();
            iterator.remove();
        }
    }

    void clear() {
        hashes.clear();
    }
}
