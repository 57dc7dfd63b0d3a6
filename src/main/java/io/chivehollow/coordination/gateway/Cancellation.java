package io.chivehollow.coordination.gateway;

import java.util.ArrayList;
import java.util.List;

/**
 * Notifies a request's flow that its caller has disconnected.
 *
 * <p>Invariant: each action runs at most once, also if it is added after the cancellation. Thread-safe.
 */
final class Cancellation {

    private final List<Runnable> actions = new ArrayList<>();
    private boolean isCancelled;

    /** Runs the action on cancellation, or immediately if the cancellation has already happened. */
    void onCancel(Runnable action) {
        synchronized (actions) {
            if (!isCancelled) {
                actions.add(action);
                return;
            }
        }
        action.run();
    }

    /** Runs all actions; further calls do nothing. */
    void cancel() {
        List<Runnable> pending;
        synchronized (actions) {
            if (isCancelled) {
                return;
            }
            isCancelled = true;
            pending = List.copyOf(actions);
            actions.clear();
        }
        pending.forEach(Runnable::run);
    }
}
