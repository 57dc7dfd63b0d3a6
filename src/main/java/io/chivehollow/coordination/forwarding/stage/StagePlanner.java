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
 * <p>Answers the load of both sites: a prompt of 5,000 tokens is read in 94 ms, and its output then holds 5,700 tokens
 * of memory for two to three seconds. The memory of the servers that make tokens is full long before those that read
 * prompts are busy. Pure; stateless and thread-safe.
 */
public final class StagePlanner {

    /**
     * Servers that make tokens for each that reads prompts.
     *
     * <p>One reader serves 10 requests/s and a maker 3 to 4. With three makers each, one of six servers read prompts,
     * and a burst of 15 requests/s had to be read at half speed by the makers.
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
        long readers = servers.stream()
                .filter(server -> server.stage() == Stage.PREFILL)
                .count();
        long wanted = Math.max(1, servers.size() / (DECODE_PER_PREFILL + 1));
        if (readers <= wanted) {
            // A service with too few readers still works: servers that make tokens read prompts, too.
            return Optional.empty();
        }
        return servers.stream()
                .filter(server -> server.stage() == Stage.PREFILL)
                .max(Comparator.comparing(BackendEntry::id))
                .map(server -> new StageChange(server.id(), Stage.DECODE));
    }
}
