package io.chivehollow.coordination.forwarding.flow;

import java.util.function.LongSupplier;

import io.chivehollow.coordination.crash.CrashLedger;
import io.chivehollow.coordination.forwarding.adapter.Dialect;
import io.chivehollow.coordination.forwarding.backend.BackendConnections;
import io.chivehollow.coordination.forwarding.backend.BackendSelector;
import io.chivehollow.coordination.forwarding.locality.Locality;
import io.chivehollow.coordination.forwarding.reserve.MemoryQueue;
import io.chivehollow.coordination.gateway.TokenBudget;
import io.netty.channel.EventLoop;

/**
 * The components that all forwarded requests share.
 *
 * <p>The components are used on the event loop only, apart from the budget and the crashes, which are thread-safe.
 *
 * @param loop event loop of the forwarding role
 * @param nanoTime monotonic clock in nanoseconds
 * @param dialect translation between the platform's HTTP messages and the router
 * @param admission checks routes and API keys
 * @param budget token budgets of the teams
 * @param selector selects backend servers
 * @param connections connections to backend servers
 * @param memoryQueue requests that wait for memory of language models
 * @param retryBudget limits retries
 * @param retrySchedule retry times of callers whose team exceeds its rate
 * @param crashes crashes of backend servers, and the prompts that are refused because of them
 * @param metrics records outcomes
 * @param locality accounts for requests that leave the failure domain
 */
public record ForwardServices(
        EventLoop loop,
        LongSupplier nanoTime,
        Dialect dialect,
        Admission admission,
        TokenBudget budget,
        BackendSelector selector,
        BackendConnections connections,
        MemoryQueue memoryQueue,
        RetryBudget retryBudget,
        RetrySchedule retrySchedule,
        CrashLedger crashes,
        ForwardMetrics metrics,
        Locality locality) {

    /** Returns services with a full retry budget that regard no failure domains. */
    public static ForwardServices of(
            EventLoop loop,
            LongSupplier nanoTime,
            Dialect dialect,
            Admission admission,
            TokenBudget budget,
            BackendSelector selector,
            BackendConnections connections,
            SharedLimits limits,
            ForwardMetrics metrics) {
        return new ForwardServices(
                loop,
                nanoTime,
                dialect,
                admission,
                budget,
                selector,
                connections,
                MemoryQueue.create(loop, nanoTime, dialect, selector, connections, metrics),
                new RetryBudget(limits.retries(), nanoTime, limits.processCount()),
                new RetrySchedule(nanoTime, limits.processCount()),
                limits.crashes(),
                metrics,
                Locality.off());
    }

    /** Returns these services with an account of the requests that leave the failure domain. */
    public ForwardServices withLocality(Locality accounting) {
        return new ForwardServices(
                loop,
                nanoTime,
                dialect,
                admission,
                budget,
                selector,
                connections,
                memoryQueue,
                retryBudget,
                retrySchedule,
                crashes,
                metrics,
                accounting);
    }
}
