package io.chivehollow.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Simulates a decode engine with continuous batching, a cold state after a restart, and a link for KV cache transfers.
 *
 * <p>The capacity of a cold engine is 2 requests and one more for each completed request. Above that its steps slow
 * down with the square of the ratio of requests to capacity, at most tenfold. Not thread-safe.
 */
final class DecodeEngine {

    private static final double MAX_SLOWDOWN = 10;
    private static final double COLD_SLOWDOWN = 1.3;
    // Decode starts above the capacity do not count as overloads for this time after the engine has become cold without
    // a restart. The change can be detected only after a slow step, which takes at most 420 ms, and requests that have
    // a reservation by then still start, at the latest after one more prefill and one more transfer.
    private static final long COLD_DETECTION_US = 1_500_000;

    private final VirtualClock clock;
    private final CostModel model;
    private final RunStats stats;
    private final Consumer<Request> onFinished;
    private final Consumer<Long> onStepMs;
    private final List<Request> running = new ArrayList<>();
    private boolean stepScheduled;
    private int completedSinceCold = CostModel.MAX_RUNNING;
    private long downUntilUs;
    private long linkFreeUs;
    private long coldDetectedByUs;

    DecodeEngine(
            VirtualClock clock,
            CostModel model,
            RunStats stats,
            Consumer<Request> onFinished,
            Consumer<Long> onStepMs) {
        this.clock = clock;
        this.model = model;
        this.stats = stats;
        this.onFinished = onFinished;
        this.onStepMs = onStepMs;
    }

    /**
     * Schedules a transfer on the link and returns its end. Returns an empty value and schedules nothing if the
     * transfer would end after {@code expiryUs}.
     */
    OptionalLong scheduleTransfer(Request request, long expiryUs) {
        long endUs = Math.max(clock.nowUs(), linkFreeUs) + model.transferUs(request.arrival.promptTokens());
        if (endUs > expiryUs) {
            return OptionalLong.empty();
        }
        linkFreeUs = endUs;
        return OptionalLong.of(endUs);
    }

    long linkBacklogUs() {
        return Math.max(0, linkFreeUs - clock.nowUs());
    }

    void start(Request request) {
        request.decodeStartUs = clock.nowUs();
        request.remainingTokens = request.arrival.outputTokens();
        running.add(request);
        if (running.size() > coldCapacity() && clock.nowUs() > coldDetectedByUs) {
            stats.coldOverloads++;
        }
        if (!stepScheduled) {
            scheduleStep();
        }
    }

    void cancel(Request request) {
        running.remove(request);
    }

    boolean isDown() {
        return clock.nowUs() < downUntilUs;
    }

    int runningCount() {
        return running.size();
    }

    /** Restarts the engine, which takes the given time, and returns the requests that were running. */
    List<Request> restart(long restartUs) {
        List<Request> lost = List.copyOf(running);
        running.clear();
        downUntilUs = clock.nowUs() + restartUs;
        completedSinceCold = 0;
        return lost;
    }

    void becomeCold() {
        completedSinceCold = 0;
        coldDetectedByUs = clock.nowUs() + COLD_DETECTION_US;
    }

    private int coldCapacity() {
        return completedSinceCold >= CostModel.MAX_RUNNING ? Integer.MAX_VALUE : 2 + completedSinceCold;
    }

    private void scheduleStep() {
        stepScheduled = true;
        long contextTokens = 0;
        for (Request request : running) {
            contextTokens += request.arrival.promptTokens();
        }
        double stepMs = CostModel.stepMs(running.size(), contextTokens);
        if (coldCapacity() < Integer.MAX_VALUE) {
            double excess = (double) running.size() / coldCapacity();
            stepMs *= COLD_SLOWDOWN * Math.min(MAX_SLOWDOWN, Math.max(1, excess * excess));
        }
        long startUs = clock.nowUs();
        clock.scheduleAfter(VirtualClock.msToUs(stepMs), () -> step(startUs));
    }

    private void step(long startUs) {
        long nowUs = clock.nowUs();
        for (Request request : List.copyOf(running)) {
            // A request that joined the batch during this step gets its first token at the end of the next step.
            if (request.decodeStartUs > startUs) {
                continue;
            }
            if (request.firstTokenUs < 0) {
                request.firstTokenUs = nowUs;
            }
            request.lastTokenUs = nowUs;
            request.remainingTokens--;
            if (request.remainingTokens == 0) {
                running.remove(request);
                completedSinceCold++;
                onFinished.accept(request);
            }
        }
        onStepMs.accept((nowUs - startUs) / 1_000);
        if (running.isEmpty()) {
            stepScheduled = false;
        } else {
            scheduleStep();
        }
    }
}
