package io.chivehollow.replay;

import io.chivehollow.base.RequestId;
import io.chivehollow.coordination.fairness.Priority;
import io.chivehollow.replay.Trace.Arrival;
import io.chivehollow.replay.Trace.RequestKind;

/**
 * A request and its current state in the simulation.
 *
 * <p>Belongs to one run. Not thread-safe.
 */
final class Request {

    /** How a request ended. */
    enum Outcome {
        OPEN,
        DONE,
        RATE_LIMITED,
        REFUSED,
        FAILED,
        /** The caller cancelled the request or lost its connection. */
        CANCELLED
    }

    final Arrival arrival;
    final RequestId id;
    final int blocks;
    final long arrivedUs;
    Outcome outcome = Outcome.OPEN;
    long endedUs = -1;
    boolean withinRateLimit = true;

    // Set for an interactive request that has missed the first token target or can no longer meet it. Such a request
    // continues with the priority of batch work.
    boolean late;
    int restarts;

    // Events before the request became late. They only determine the cause of a loss, see Losses.
    boolean wasQueued;
    int memoryRefusals;
    int remainingTokens;
    long firstTokenUs = -1;
    long lastTokenUs = -1;
    long decodeStartUs = -1;

    Request(Arrival arrival) {
        this.arrival = arrival;
        this.id = RequestId.of("r" + arrival.number());
        this.blocks = CostModel.blocks(arrival);
        this.arrivedUs = arrival.timeMs() * 1_000;
        this.remainingTokens = arrival.outputTokens();
    }

    boolean isOpen() {
        return outcome == Outcome.OPEN;
    }

    boolean isBatch() {
        return arrival.kind() == RequestKind.BATCH;
    }

    boolean isOnTimeInteractive() {
        return arrival.kind() == RequestKind.INTERACTIVE && !late;
    }

    Priority priority() {
        return isBatch() || late ? Priority.BATCH : Priority.INTERACTIVE;
    }

    /** Returns the latest time of the first token at which the request still counts as good. */
    long targetUs() {
        double targetMs = isBatch() ? CostModel.BATCH_DEADLINE_MS : CostModel.FIRST_TOKEN_TARGET_MS;
        return arrivedUs + VirtualClock.msToUs(targetMs);
    }

    /** Returns the time at which the caller stops waiting for the first token. */
    long timeoutUs() {
        double timeoutMs = isBatch() ? CostModel.BATCH_DEADLINE_MS : CostModel.INTERACTIVE_TIMEOUT_MS;
        return arrivedUs + VirtualClock.msToUs(timeoutMs);
    }

    /** Returns whether the request has completed and met its latency targets. */
    boolean isGood() {
        if (outcome != Outcome.DONE || firstTokenUs > targetUs()) {
            return false;
        }
        double intervals = Math.max(1, arrival.outputTokens() - 1);
        return isBatch() || (lastTokenUs - firstTokenUs) / 1_000.0 / intervals <= CostModel.TOKEN_INTERVAL_TARGET_MS;
    }
}
