package io.chivehollow.coordination.forwarding.backend;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The notices of all runs of backend servers, also of runs that are not in the list.
 *
 * <p>Invariant: a listed run is not forgotten, because each reading of the list counts as a use of its notice. Used on
 * the event loop of the forwarding role only.
 */
final class ServerNotices {

    /** Runs whose notices are kept; the longest unused one is forgotten first. */
    private static final int MAX_RUNS = 10_000;

    private final ServerChanges changes;
    private final Map<String, ServerNotice> byId = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ServerNotice> eldest) {
            return size() > MAX_RUNS;
        }
    };

    ServerNotices(ServerChanges changes) {
        this.changes = changes;
    }

    /** Returns the notice of the run with the given id. */
    ServerNotice of(String id) {
        ServerNotice known = byId.get(id);
        if (known != null) {
            return known;
        }
        ServerNotice created = new ServerNotice(id, changes);
        byId.put(id, created);
        return created;
    }
}
