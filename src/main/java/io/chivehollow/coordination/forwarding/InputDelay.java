package io.chivehollow.coordination.forwarding;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;

/**
 * Bounds the time for which received bytes may have waited before an event loop reads them because the loop was busy or
 * the process was stopped.
 *
 * <p>A timer on each event loop shows when the loop last ran. The bound does not include time for which the monotonic
 * clock stood still together with the process. Thread-safe.
 */
final class InputDelay {

    private static final long TICK_MS = 250;

    /** A longer pause between two ticks counts as a stall. */
    private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(2 * TICK_MS);

    /** Time after a stall by which the loop has accepted and read what arrived during the stall. */
    private static final long CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final ImmutableMap<EventExecutor, LoopTimer> timers;

    private InputDelay(ImmutableMap<EventExecutor, LoopTimer> timers) {
        this.timers = timers;
    }

    /** Starts the timers, which run until the event loops shut down. */
    static InputDelay start(EventLoopGroup eventLoops, LongSupplier nanoTime) {
        ImmutableMap.Builder<EventExecutor, LoopTimer> timers = ImmutableMap.builder();
        for (EventExecutor loop : eventLoops) {
            LoopTimer timer = new LoopTimer(nanoTime);
            loop.scheduleWithFixedDelay(timer::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
            timers.put(loop, timer);
        }
        return new InputDelay(timers.build());
    }

    /**
     * Returns the earliest time at which bytes that the event loop reads now can have arrived, in nanoseconds of the
     * clock; must be called on this event loop, which must belong to the group.
     */
    long earliestArrivalNanos(EventLoop loop) {
        LoopTimer timer = timers.get(loop);
        if (timer == null) {
            throw new IllegalArgumentException("The event loop is not one of the group");
        }
        return timer.earliestArrivalNanos();
    }

    /** The timer of one event loop; used on this event loop only. */
    private static final class LoopTimer {

        private final LongSupplier nanoTime;
        private long lastTickNanos;
        private long stallStartNanos;
        private long stallEndNanos;

        LoopTimer(LongSupplier nanoTime) {
            this.nanoTime = nanoTime;
            this.lastTickNanos = nanoTime.getAsLong();
            this.stallStartNanos = lastTickNanos;
            this.stallEndNanos = lastTickNanos - CATCH_UP_NANOS;
        }

        void tick() {
            long nowNanos = nanoTime.getAsLong();
            if (nowNanos - lastTickNanos > STALL_NANOS) {
                stallStartNanos = lastTickNanos;
                stallEndNanos = nowNanos;
            }
            lastTickNanos = nowNanos;
        }

        long earliestArrivalNanos() {
            boolean isCatchingUp = nanoTime.getAsLong() - stallEndNanos < CATCH_UP_NANOS;
            return isCatchingUp ? stallStartNanos : lastTickNanos;
        }
    }
}
