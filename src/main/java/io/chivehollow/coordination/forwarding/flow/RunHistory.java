package io.chivehollow.coordination.forwarding.flow;

import io.chivehollow.protocol.wire.ForwardRoute;
import io.chivehollow.protocol.wire.RepeatRule;

/**
 * What is known about the earlier runs of one request, and whether a further run is allowed.
 *
 * <p>Invariant: once a backend server may have run the request, the request counts as possibly run for good. Used on
 * the event loop of the forwarding role only.
 */
final class RunHistory {

    /** Maximum attempts to run one request, including refused ones; more attempts only add load to full servers. */
    private static final int MAX_ATTEMPTS = 3;

    private int attempts;
    private int possibleRuns;
    private boolean mayHaveRun;
    private boolean hasCrashedServer;

    /** Counts an attempt that is sent. */
    void onSent() {
        attempts++;
    }

    /** Records that a backend server may have run the request without a complete response. */
    void onPossibleRun() {
        possibleRuns++;
        mayHaveRun = true;
    }

    /** Records that the response of a run is complete. */
    void onComplete() {
        mayHaveRun = true;
    }

    /** Records that a backend server ended when it began the answer; the request is not sent to another one. */
    void onServerCrash() {
        hasCrashedServer = true;
    }

    boolean hasAttempt() {
        return attempts > 0;
    }

    boolean isExhausted() {
        return attempts >= MAX_ATTEMPTS;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether a request that may have run may be sent to another backend server. */
    boolean mayRepeat(ForwardRoute route, ResponseRelay relay) {
        return !hasCrashedServer && mayRepeat(route, relay, possibleRuns);
    }

    /** Returns whether the request could be sent to another backend server if the present run were abandoned. */
    boolean mayRepeatAfterThisRun(ForwardRoute route, ResponseRelay relay) {
        return mayRepeat(route, relay, possibleRuns + 1);
    }

    private static boolean mayRepeat(ForwardRoute route, ResponseRelay relay, int runs) {
        if (runs >= route.getMaxServers()) {
            return false;
        }
        if (route.getStreaming()) {
            return route.getResumable() && relay.canResume();
        }
        return route.getRepeat() == RepeatRule.REPEATABLE && !relay.hasStarted();
    }
}
