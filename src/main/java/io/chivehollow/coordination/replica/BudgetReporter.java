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
 * Carries the reports of a {@link BudgetBorrower} to the leader.
 *
 * <p>A report is sent every 500 ms, also when it is empty, because the leader closes the sessions of silent gateways;
 * earlier when requests wait. At most one report is on its way. Thread-safe.
 */
public final class BudgetReporter implements AutoCloseable {

    private static final int REPORT_MS = 500;

    /** Pause before an early report; collects the needs of requests that arrive together. */
    private static final int NEED_MS = 5;

    /** Pause before the next report when the last one did not satisfy all waiting requests. */
    private static final int STILL_WAITING_MS = 25;

    private static final int RETRY_MS = 50;

    /** Longest time for an answer; half of the loans' validity is left after two lost reports. */
    private static final int ANSWER_TIMEOUT_MS = 500;

    private static final int EXPIRE_MS = 50;

    private final BudgetBorrower borrower;
    private final ControlClient client;
    private final Scheduler scheduler;
    private final Scheduler.Timer expireTimer;
    private final AtomicReference<State> state = new AtomicReference<>(State.IDLE);
    private volatile boolean isClosed;
    private Scheduler.@Nullable Timer next;

    private BudgetReporter(BudgetBorrower borrower, ControlClient client, Scheduler scheduler) {
        this.borrower = borrower;
        this.client = client;
        this.scheduler = scheduler;
        this.expireTimer = scheduler.scheduleRepeating(EXPIRE_MS, borrower::expireWaiting);
    }

    /** Starts to send the borrower's reports. */
    public static BudgetReporter start(BudgetBorrower borrower, ControlClient client, Scheduler scheduler) {
        BudgetReporter reporter = new BudgetReporter(borrower, client, scheduler);
        reporter.schedule(0);
        return reporter;
    }

    /** Sends a report early; to be called when the borrower has a new need. */
    public void onNewNeed() {
        if (state.compareAndSet(State.IDLE, State.HURRYING)) {
            schedule(NEED_MS);
        }
    }

    private synchronized void schedule(long delayMs) {
        if (next != null) {
            next.cancel();
        }
        if (!isClosed) {
            next = scheduler.schedule(delayMs, this::send);
        }
    }

    private void send() {
        if (isClosed || state.getAndSet(State.SENT) == State.SENT) {
            return;
        }
        Borrow report = borrower.nextReport();
        borrowOnce(report).whenComplete((answer, failure) -> onAnswer(report.getSequence(), answer, failure));
    }

    private CompletableFuture<Frame> borrowOnce(Borrow report) {
        try {
            return client.borrowOnce(report, ANSWER_TIMEOUT_MS);
        } catch (RuntimeException e) {
            // For instance when the connections are shut down; reports must not end here.
            return CompletableFuture.failedFuture(e);
        }
    }

    private void onAnswer(long sequence, @Nullable Frame answer, @Nullable Throwable failure) {
        long delayMs = RETRY_MS;
        if (answer != null && answer.hasLoan()) {
            delayMs = borrower.onLoan(answer.getLoan()) ? STILL_WAITING_MS : REPORT_MS;
        } else if (answer != null && answer.hasNotLeader() || isNotRun(failure)) {
            borrower.onNotApplied(sequence);
        } else {
            borrower.onNoResponse(sequence);
        }
        state.set(delayMs == REPORT_MS ? State.IDLE : State.HURRYING);
        schedule(delayMs);
    }

    private static boolean isNotRun(@Nullable Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof ChivehollowException known && known.isNotRun();
    }

    @Override
    public synchronized void close() {
        isClosed = true;
        expireTimer.cancel();
        if (next != null) {
            next.cancel();
        }
    }

    private enum State {
        /** The next regular report is scheduled. */
        IDLE,
        /** A report is scheduled early. */
        HURRYING,
        /** A report waits for its answer. */
        SENT
    }
}
