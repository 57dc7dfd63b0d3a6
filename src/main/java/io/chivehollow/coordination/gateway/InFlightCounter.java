package io.chivehollow.coordination.gateway;

import java.util.ArrayList;
import java.util.List;

/**
 * Counts HTTP requests whose response has not been written completely.
 *
 * <p>Thread-safe.
 */
final class InFlightCounter {

    private final List<Runnable> idleActions = new ArrayList<>();
    private int count;

    synchronized void increment() {
        count++;
    }

    void decrement(int by) {
        List<Runnable> ready = List.of();
        synchronized (this) {
            count -= by;
            if (count == 0) {
                ready = List.copyOf(idleActions);
                idleActions.clear();
            }
        }
        ready.forEach(Runnable::run);
    }

    synchronized int count() {
        return count;
    }

    /** Runs the action as soon as no request is in flight, immediately if there is none now. */
    void whenZero(Runnable action) {
        synchronized (this) {
            if (count > 0) {
                idleActions.add(action);
                return;
            }
        }
        action.run();
    }
}
