package io.chivehollow.coordination.forwarding.backend;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import io.chivehollow.coordination.forwarding.adapter.BackendEntry;
import org.jboss.logging.Logger;

/**
 * The backend servers of the platform's list.
 *
 * <p>Invariant: an id stands for one run of a backend server; a run that has left the list is not used again unless it
 * comes back. Used on the event loop of the forwarding role only.
 */
public final class BackendTable {

    private static final Logger LOG = Logger.getLogger(BackendTable.class);

    private final Map<String, Backend> byId = new HashMap<>();
    private final LongSupplier nanoTime;

    private BackendTable(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    /** Returns an empty table on the given clock. */
    public static BackendTable create(LongSupplier nanoTime) {
        return new BackendTable(nanoTime);
    }

    /** Takes a new list; returns the backend servers that are not on it any more. */
    public List<Backend> update(Collection<BackendEntry> entries) {
        long now = nanoTime.getAsLong();
        Set<String> listed = new HashSet<>();
        for (BackendEntry entry : entries) {
            listed.add(entry.id());
            Backend known = byId.get(entry.id());
            if (known == null) {
                LOG.infof(
                        "Backend server %s of %s at %s is listed, stage %s",
                        entry.id(), entry.service(), entry.address(), entry.stage());
                byId.put(entry.id(), new Backend(entry, now));
            } else {
                logChange(known.entry(), entry);
                known.update(entry, now);
            }
        }
        List<Backend> gone = new ArrayList<>();
        byId.values().removeIf(backend -> {
            if (listed.contains(backend.id())) {
                return false;
            }
            LOG.infof("Backend server %s is not listed any more", backend.id());
            backend.onGone();
            gone.add(backend);
            return true;
        });
        return gone;
    }

    private static void logChange(BackendEntry before, BackendEntry after) {
        if (before.isDraining() != after.isDraining() || before.stage() != after.stage()) {
            LOG.infof(
                    "Backend server %s is now %s, stage %s",
                    after.id(), after.isDraining() ? "draining" : "ready", after.stage());
        }
    }

    /** Returns all backend servers that are listed. */
    public Collection<Backend> all() {
        return byId.values();
    }
}
