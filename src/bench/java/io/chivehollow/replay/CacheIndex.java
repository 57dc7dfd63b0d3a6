package io.chivehollow.replay;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.replay.Trace.Server;

/**
 * Simulates the index of prefix caches that the gateways build from events of the prefill servers. Events arrive 0.2 to
 * 1 s late, and one in ten is lost.
 *
 * <p>Not thread-safe.
 */
final class CacheIndex {

    private static final double EVENT_LOSS_PROBABILITY = 0.1;
    private static final int MIN_DELAY_MS = 200;
    private static final int MAX_DELAY_MS = 1_000;
    // Evictions are not published, so an entry expires when the prefix has not been used again for this time.
    private static final long ENTRY_VALID_US = 20_000_000;

    private final VirtualClock clock;
    private final Random random;
    private final Map<BackendServerId, Map<Integer, CachedPrefix>> prefixesByServer = new HashMap<>();

    CacheIndex(VirtualClock clock, long seed) {
        this.clock = clock;
        this.random = new Random(seed);
    }

    void publish(Server server, Request request) {
        int group = request.arrival.prefixGroup();
        if (group == 0 || random.nextDouble() < EVENT_LOSS_PROBABILITY) {
            return;
        }
        int tokens = request.arrival.prefixTokens();
        long delayUs = 1_000L * (MIN_DELAY_MS + random.nextInt(MAX_DELAY_MS - MIN_DELAY_MS));
        clock.scheduleAfter(delayUs, () -> {
            Map<Integer, CachedPrefix> groups = prefixesByServer.computeIfAbsent(server.id(), id -> new HashMap<>());
            CachedPrefix old = groups.get(group);
            groups.put(group, new CachedPrefix(old == null ? tokens : Math.max(old.tokens(), tokens), clock.nowUs()));
        });
    }

    int cachedTokens(Server server, Request request) {
        CachedPrefix prefix =
                prefixesByServer.getOrDefault(server.id(), Map.of()).get(request.arrival.prefixGroup());
        if (prefix == null || clock.nowUs() - prefix.updatedUs() > ENTRY_VALID_US) {
            return 0;
        }
        return Math.min(prefix.tokens(), request.arrival.prefixTokens());
    }

    private record CachedPrefix(int tokens, long updatedUs) {}
}
