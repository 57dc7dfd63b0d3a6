package io.chivehollow.coordination.forwarding.reserve;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Runs actions later.
 *
 * <p>Used on the event loop of the forwarding role only.
 */
interface Timers {

    /** Runs the action after the time in milliseconds; the returned runnable cancels it. */
    Runnable schedule(Runnable action, long delayMs);

    /** Returns timers of the event loop. */
    static Timers of(EventLoop loop) {
        return (action, delayMs) -> {
            ScheduledFuture<?> scheduled = loop.schedule(action, delayMs, TimeUnit.MILLISECONDS);
            return () -> scheduled.cancel(false);
        };
    }
}
