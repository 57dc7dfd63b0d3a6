package io.chivehollow.coordination.replica;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicReference;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.Scheduler;
import io.chivehollow.coordination.budget.BudgetBorrower;
import io.chivehollow.protocol.wire.Borrow;
import io.chivehollow.protocol.wire.Frame;
import org.jspecify.annotations.Nullable;

/**
 * Sends the reports of a {@link BudgetBorrower} to the leader.
 *
 * <p>A report is sent every 500 ms, even if it is empty, because the leader closes the sessions of unresponsive
 * gateways. It is sent earlier if queued requests lack tokens. At most one report awaits its response. Thread-safe.
 */
public final class BudgetReporter implements AutoCloseable {

    private static final int REPORT_PERIOD_MS = 500;

    /** Delay of an early report in ms; combines the shortfalls of requests that arrive together. */
    private static final int EARLY_REPORT_DELAY_MS = 5;

    /** Delay of the next report in ms if the last loan did not cover all queued requests. */
    private static final int UNSATISFIED_DELAY_MS = 25;

    private static final int RETRY_DELAY_MS = 50;

    /** Response timeout in ms; after two lost reports, half of the loans' validity of 3 s is left. */
    private static final int RESPONSE_TIMEOUT_MS = 500;

    private static final int EXPIRY_PERIOD_MS = 50;

    private final BudgetBorrower borrower;
    private final ControlClient client;
    private final Scheduler scheduler;
    private final Scheduler.Timer expireTimer;
    private final AtomicReference<State> state = new AtomicReference<>(State.REGULAR_SCHEDULED);
    private volatile boolean isClosed;
    private Scheduler.@Nullable Timer nextReport;

    private BudgetReporter(BudgetBorrower borrower, ControlClient client, Scheduler scheduler) {
        this.borrower = borrower;
        this.client = client;
        this.scheduler = scheduler;
        this.expireTimer = scheduler.scheduleRepeating(EXPIRY_PERIOD_MS, borrower::expireWaiting);
    }

    /** Starts sending the borrower's reports. */
    public static BudgetReporter start(BudgetBorrower borrower, ControlClient client, Scheduler scheduler) {
        BudgetReporter reporter = new BudgetReporter(borrower, client, scheduler);
        reporter.schedule(0);
        return reporter;
    }

    /** Schedules an early report; to be called when a queued request lacks tokens. */
    public void onNewNeed() {
        if (state.compareAndSet(State.REGULAR_SCHEDULED, State.EARLY_SCHEDULED)) {
            schedule(EARLY_REPORT_DELAY_MS);
        }
    }

    private synchronized void schedule(long delayMs) {
        if (nextReport != null) {
            nextReport.cancel();
        }
        if (!isClosed) {
            nextReport = scheduler.schedule(delayMs, this::send);
        }
    }

    private void send() {
        if (isClosed || state.getAndSet(State.AWAITING_RESPONSE) == State.AWAITING_RESPONSE) {
            return;
        }
        Borrow report = borrower.nextReport();
        borrowOnce(report).whenComplete((response, failure) -> onResponse(report.getSequence(), response, failure));
    }

    private CompletableFuture<Frame> borrowOnce(Borrow report) {
        try {
            return client.borrowOnce(report, RESPONSE_TIMEOUT_MS);
        } catch (RuntimeException e) {
            // Occurs for example when the connections are shut down; later reports must still be sent.
            return CompletableFuture.failedFuture(e);
        }
    }

    private void onResponse(long sequence, @Nullable Frame response, @Nullable Throwable failure) {
        long delayMs = RETRY_DELAY_MS;
        if (response != null && response.hasLoan()) {
            delayMs = borrower.onLoan(response.getLoan()) ? UNSATISFIED_DELAY_MS : REPORT_PERIOD_MS;
        } else if (response != null && response.hasNotLeader() || isNotRun(failure)) {
            borrower.onNotApplied(sequence);
        } else {
            borrower.onNoResponse(sequence);
        }
        state.set(delayMs == REPORT_PERIOD_MS ? State.REGULAR_SCHEDULED : State.EARLY_SCHEDULED);
        schedule(delayMs);
    }

    private static boolean isNotRun(@Nullable Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof ChivehollowException chivehollowException && chivehollowException.isNotRun();
    }

    @Override
    public synchronized void close() {
        isClosed = true;
        expireTimer.cancel();
        if (nextReport != null) {
            nextReport.cancel();
        }
    }

    private enum State {
        /** The next report is scheduled at the regular time. */
        REGULAR_SCHEDULED,
        /** The next report is scheduled before the regular time. */
        EARLY_SCHEDULED,
        /** A report was sent and awaits its response. */
        AWAITING_RESPONSE
    }
}
