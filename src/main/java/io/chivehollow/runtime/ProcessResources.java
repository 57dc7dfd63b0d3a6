package io.chivehollow.runtime;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import io.chivehollow.base.Clock;
import io.chivehollow.base.Scheduler;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/**
 * Threads and clock shared by the roles of a process.
 *
 * <p>Thread-safe.
 */
final class ProcessResources implements AutoCloseable {

    private static final int EVENT_LOOPS = 2;
    private static final int SCHEDULER_THREADS = 2;

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(
            SCHEDULER_THREADS,
            new ThreadFactoryBuilder().setNameFormat("timer-%d").setDaemon(true).build());
    private final Scheduler scheduler = Scheduler.on(executor);

    ProcessResources() {
        // Otherwise a cancelled deadline timer retains its request, with the whole prompt, until the deadline.
        executor.setRemoveOnCancelPolicy(true);
    }

    /** Returns the number of scheduled timers that have not fired. */
    int pendingTimers() {
        return executor.getQueue().size();
    }

    EventLoopGroup eventLoops() {
        return eventLoops;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    Clock clock() {
        return Clock.system();
    }

    @Override
    public void close() {
        executor.shutdownNow();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
    }
}
