package io.chivehollow.coordination.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.RequestId;
import io.chivehollow.coordination.config.ApiKeys;
import io.chivehollow.coordination.config.ConfigView;

/**
 * The open requests of a gateway.
 *
 * <p>Thread-safe. Invariant: contains each request from its registration until its outcome is determined.
 */
final class OpenRequests {

    private final Map<RequestId, OpenRequest> requests = new ConcurrentHashMap<>();
    private final List<Runnable> idleActions = new ArrayList<>();

    void add(OpenRequest request) {
        requests.put(request.context().id(), request);
    }

    void remove(OpenRequest request) {
        requests.remove(request.context().id());
        List<Runnable> ready = List.of();
        synchronized (idleActions) {
            if (requests.isEmpty()) {
                ready = List.copyOf(idleActions);
                idleActions.clear();
            }
        }
        ready.forEach(Runnable::run);
    }

    int size() {
        return requests.size();
    }

    List<RequestId> ids() {
        return requests.keySet().stream().sorted().toList();
    }

    /** Runs the action as soon as no request is open, immediately if there is none now. */
    void whenEmpty(Runnable action) {
        synchronized (idleActions) {
            if (!requests.isEmpty()) {
                idleActions.add(action);
                return;
            }
        }
        action.run();
    }

    /** Ends the requests whose API key was withdrawn or can no longer be checked. */
    void recheckKeys(ConfigView view) {
        for (OpenRequest request : requests.values()) {
            ApiKeys.CheckedKey key = request.context().key();
            if (key == null) {
                continue;
            }
            try {
                ApiKeys.recheck(view, key);
            } catch (ChivehollowException e) {
                request.revoke(e);
            }
        }
    }

    /** Ends all requests that are still open. */
    void abandonAll(ErrorCode code, String message) {
        requests.values().forEach(request -> request.abandon(code, message));
    }
}
