package io.chivehollow.coordination.forwarding.stage;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.chivehollow.coordination.forwarding.adapter.BackendEntry;
import io.chivehollow.coordination.forwarding.adapter.BackendEntry.Stage;

/**
 * Decides which backend server of a service should change between reading prompts and making tokens.
 *
 * <p>Answers the load of both deployments: a prompt of 5,000 tokens is read in 94 ms, and its output then holds 5,700
 * tokens of memory for two to three seconds. The memory of decode servers is full long before prefill servers are busy.
 * Pure; stateless and thread-safe.
 */
public final class StagePlanner {

    /**
     * Decode servers for each prefill server.
     *
     * <p>A prefill server serves 10 requests/s and a decode server 3 to 4. With a ratio of three, one of six servers
     * was a prefill server, and the decode servers had to read a part of each burst of 15 requests/s at half speed.
     */
    private static final int DECODE_PER_PREFILL = 2;

    private StagePlanner() {}

    /** Returns the next change that brings a service nearer to its division, or nothing if none is needed. */
    public static Optional<StageChange> next(Collection<BackendEntry> entries) {
        Map<String, List<BackendEntry>> byService = new TreeMap<>();
        for (BackendEntry entry : entries) {
            if (entry.stage() != Stage.PLAIN && !entry.isDraining()) {
                byService
                        .computeIfAbsent(entry.service(), service -> new ArrayList<>())
                        .add(entry);
            }
        }
        return byService.values().stream()
                .map(StagePlanner::nextOfService)
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static Optional<StageChange> nextOfService(List<BackendEntry> servers) {
        long prefillServers = servers.stream()
                .filter(server -> server.stage() == Stage.PREFILL)
                .count();
        long wanted = Math.max(1, servers.size() / (DECODE_PER_PREFILL + 1));
        if (prefillServers <= wanted) {
            // A service with too few prefill servers still works: decode servers read prompts, too.
            return Optional.empty();
        }
        return servers.stream()
                .filter(server -> server.stage() == Stage.PREFILL)
                .max(Comparator.comparing(BackendEntry::id))
                .map(server -> new StageChange(server.id(), Stage.DECODE));
    }
}
