package io.chivehollow.coordination.forwarding.flow;

import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import io.chivehollow.coordination.forwarding.adapter.Dialect;
import io.chivehollow.coordination.forwarding.backend.BackendChoice;
import io.chivehollow.coordination.forwarding.backend.BackendConnections;
import io.chivehollow.coordination.forwarding.reserve.MemoryQueue;
import io.chivehollow.coordination.gateway.TokenBudget;
import io.netty.channel.EventLoop;

/**
 * What the flows of all requests share.
 *
 * <p>The parts are used on the event loop only, apart from the budget, which is thread-safe.
 *
 * @param loop event loop of the forwarding role
 * @param nanoTime monotonic clock
 * @param dialect translation of header fields
 * @param admission routes and keys
 * @param budget rates of the teams
 * @param choice choice of backend servers
 * @param connections connections to backend servers
 * @param memory queue for memory of language models
 * @param repeats budget of repetitions
 * @param returns times at which callers over their team's rate should come back
 * @param metrics counts outcomes
 */
public record ForwardServices(
        EventLoop loop,
        LongSupplier nanoTime,
        Dialect dialect,
        Admission admission,
        TokenBudget budget,
        BackendChoice choice,
        BackendConnections connections,
        MemoryQueue memory,
        RepeatBudget repeats,
        ReturnSchedule returns,
        ForwardMetrics metrics) {

    /** Returns services with a full budget of repetitions, which so many processes share. */
    public static ForwardServices of(
            EventLoop loop,
            LongSupplier nanoTime,
            Dialect dialect,
            Admission admission,
            TokenBudget budget,
            BackendChoice choice,
            BackendConnections connections,
            IntSupplier processes,
            ForwardMetrics metrics) {
        return new ForwardServices(
                loop,
                nanoTime,
                dialect,
                admission,
                budget,
                choice,
                connections,
                MemoryQueue.create(loop, nanoTime, dialect, choice, connections),
                new RepeatBudget(nanoTime, processes),
                new ReturnSchedule(nanoTime, processes),
                metrics);
    }
}
