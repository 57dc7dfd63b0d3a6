package io.chivehollow.coordination.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

/**
 * Prompt parts that together explain several crashes; a prompt that has all of them is likely to crash its server.
 *
 * <p>Invariant: there is at least one part. Immutable and thread-safe.
 *
 * @param parts the parts that all crashed prompts have in common
 * @param crashes the explained crashes
 */
record CrashSignature(ImmutableSet<String> parts, ImmutableList<ServerCrash> crashes) {

    /** Crashed servers from which on a common part is no coincidence. */
    static final int MIN_SERVERS = 3;

    /**
     * Finds the signatures of the crashes. Each server ends for the reason of one signature at most; other prompts that
     * it had begun to answer need no cause of their own.
     *
     * <p>The part of the crashes of most servers comes first; of parts with equally many servers, the one of fewer
     * prompts, which others have only beside it. A single crash without a part of all others may have another reason
     * and does not exclude that part; a second one does.
     */
    static ImmutableList<CrashSignature> of(Collection<ServerCrash> crashes) {
        ImmutableList.Builder<CrashSignature> signatures = ImmutableList.builder();
        List<ServerCrash> unexplained = new ArrayList<>(crashes);
        for (Optional<CrashSignature> next = strongest(unexplained); next.isPresent(); next = strongest(unexplained)) {
            signatures.add(next.get());
            Set<String> explainedServers = serverIds(next.get().crashes());
            unexplained.removeIf(crash -> explainedServers.contains(crash.key().backendServer()));
        }
        return signatures.build();
    }

    private static Optional<CrashSignature> strongest(List<ServerCrash> crashes) {
        // Sorted, so that all processes make the same choice among equals.
        Map<String, List<ServerCrash>> byPart = new TreeMap<>();
        crashes.forEach(
                crash -> crash.suspectParts().forEach(part -> byPart.computeIfAbsent(part, id -> new ArrayList<>())
                        .add(crash)));
        List<ServerCrash> best = List.of();
        for (List<ServerCrash> candidate : byPart.values()) {
            int difference = servers(candidate) - servers(best);
            if (difference > 0 || difference == 0 && candidate.size() < best.size()) {
                best = candidate;
            }
        }
        if (servers(best) < MIN_SERVERS) {
            return Optional.empty();
        }
        return Optional.of(ofCommonParts(narrowest(best, byPart.values())));
    }

    /** Returns the crashes without a single one that does not have a part of all others. */
    private static List<ServerCrash> narrowest(List<ServerCrash> crashes, Collection<List<ServerCrash>> candidates) {
        int minServers = Math.max(MIN_SERVERS, servers(crashes) - 1);
        List<ServerCrash> narrowest = crashes;
        for (List<ServerCrash> candidate : candidates) {
            if (candidate.size() < narrowest.size()
                    && servers(candidate) >= minServers
                    && crashes.containsAll(candidate)) {
                narrowest = candidate;
            }
        }
        return narrowest;
    }

    private static CrashSignature ofCommonParts(List<ServerCrash> crashes) {
        Set<String> common = new HashSet<>(crashes.get(0).suspectParts());
        crashes.forEach(crash -> common.retainAll(crash.suspectParts()));
        return new CrashSignature(ImmutableSet.copyOf(common), ImmutableList.copyOf(crashes));
    }

    private static Set<String> serverIds(List<ServerCrash> crashes) {
        return crashes.stream().map(crash -> crash.key().backendServer()).collect(Collectors.toSet());
    }

    private static int servers(List<ServerCrash> crashes) {
        return serverIds(crashes).size();
    }

    int servers() {
        return servers(crashes);
    }

    boolean matches(Collection<String> promptParts) {
        return promptParts.containsAll(parts);
    }

    ServerCrash newest() {
        ServerCrash newest = crashes.get(0);
        for (ServerCrash crash : crashes) {
            newest = crash.timeNanos() - newest.timeNanos() > 0 ? crash : newest;
        }
        return newest;
    }
}
