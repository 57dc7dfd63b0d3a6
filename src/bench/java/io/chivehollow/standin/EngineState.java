package io.chivehollow.standin;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * State of a simulated engine for tests, also served as JSON at {@code /standin/state}.
 *
 * <p>Immutable and thread-safe. The JSON fields have the names of the components.
 *
 * @param bootId id of the engine's current start
 * @param heldBlocks blocks that requests and retained prefill results occupy
 * @param liveRequests ids of the requests that occupy memory or wait for it
 * @param isCold whether the engine is cold
 * @param peakRunning highest number of requests that were in the engine at the same time, without retained prefill
 *     results
 * @param peakRunningCold the same number while the engine was cold
 * @param overloads number of times that a cold engine received more concurrent requests than it can handle
 * @param completed requests whose response was sent completely
 * @param wastedPrefills prefill results that expired before they were imported
 * @param commands management commands that were applied, in order, each as path and fencing number
 * @param headersSeen values of all request headers received so far, by the header's name in lower case
 */
public record EngineState(
        String bootId,
        int heldBlocks,
        List<String> liveRequests,
        boolean isCold,
        int peakRunning,
        int peakRunningCold,
        int overloads,
        int completed,
        int wastedPrefills,
        List<String> commands,
        Map<String, Set<String>> headersSeen) {}
