package io.chivehollow.coordination.gateway;

import java.util.List;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.PrefixBlock;

/**
 * Records which backend server of one pool role probably has the prefix of a prompt in its cache.
 *
 * <p>Thread-safe. Stores a bounded number of prefixes, each with the last server that has computed it.
 */
final class PrefixLocations {

    private static final int MAX_PREFIXES = 100_000;

    private final Cache<Long, BackendServerId> prefixes =
            CacheBuilder.newBuilder().maximumSize(MAX_PREFIXES).build();

    /** Records that the server's engine has computed the blocks of a prompt. */
    void onPrefilled(BackendServerId server, List<Long> prefixHashes) {
        prefixHashes.forEach(hash -> prefixes.put(hash, server));
    }

    /**
     * Corrects the records of a server's cached prefix with the number of tokens that its sidecar reports.
     *
     * <p>A hash that is recorded for another server is not changed. Moving only the first hashes of a longer prefix
     * would make the whole prefix appear uncached at that other server.
     */
    void onCachedPrefixReport(BackendServerId server, List<Long> prefixHashes, int cachedTokens) {
        // The field is unsigned on the wire.
        long cachedBlocks = Integer.toUnsignedLong(cachedTokens) / PrefixBlock.TOKENS;
        for (int i = 0; i < prefixHashes.size(); i++) {
            if (i < cachedBlocks) {
                prefixes.asMap().putIfAbsent(prefixHashes.get(i), server);
            } else {
                prefixes.asMap().remove(prefixHashes.get(i), server);
            }
        }
    }

    /** Returns the number of leading prompt tokens that the server probably has cached. */
    int cachedTokens(BackendServerId server, List<Long> prefixHashes) {
        int blocks = 0;
        for (Long hash : prefixHashes) {
            if (!server.equals(prefixes.getIfPresent(hash))) {
                break;
            }
            blocks++;
        }
        return blocks * PrefixBlock.TOKENS;
    }
}
