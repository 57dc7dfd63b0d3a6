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
import io.chivehollow.coordination.forwarding.adapter.BackendEntry.Role;
import io.chivehollow.coordination.forwarding.estimate.EngineEstimates;
import io.chivehollow.coordination.forwarding.locality.LinkObserver;
import io.chivehollow.coordination.forwarding.speed.SpeedListener;
import io.chivehollow.coordination.forwarding.speed.WorkTimes;
import org.jboss.logging.Logger;

/**
 * The backend servers in the platform's list.
 *
 * <p>Invariant: an id stands for one run of a backend server; a run that was removed from the list is not used unless
 * it is listed again, and a run that leaves is not used even then. Used on the event loop of the forwarding role only.
 */
public final class BackendTable {

    private static final Logger LOG = Logger.getLogger(BackendTable.class);

    private final Map<String, Backend> byId = new HashMap<>();
    private final Map<String, EngineEstimates> estimatesByService = new HashMap<>();
    private final Map<String, WorkTimes> workTimesByService = new HashMap<>();
    private final LongSupplier nanoTime;
    private final ServerNotices notices;
    private final SpeedListener speeds;
    private final LinkObserver links;

    private BackendTable(LongSupplier nanoTime, ServerChanges changes, SpeedListener speeds, LinkObserver links) {
        this.links = links;
        this.nanoTime = nanoTime;
        this.speeds = speeds;
        this.notices = new ServerNotices(changes);
    }

    /** Returns an empty table that uses the given clock. */
    public static BackendTable create(LongSupplier nanoTime) {
        return create(nanoTime, ServerChanges.NONE, SpeedListener.NONE);
    }

    /**
     * Returns an empty table that uses the given clock and reports changes that servers state about themselves, and
     * their speeds.
     */
    public static BackendTable create(LongSupplier nanoTime, ServerChanges changes, SpeedListener speeds) {
        return create(nanoTime, changes, speeds, LinkObserver.NONE);
    }

    /** Returns an empty table that also reports what calls show about the paths to failure domains. */
    public static BackendTable create(
            LongSupplier nanoTime, ServerChanges changes, SpeedListener speeds, LinkObserver links) {
        return new BackendTable(nanoTime, changes, speeds, links);
    }

    /** Replaces the list; returns the backend servers that were removed from it. */
    public List<Backend> update(Collection<BackendEntry> entries) {
        long now = nanoTime.getAsLong();
        Set<String> listed = new HashSet<>();
        for (BackendEntry entry : entries) {
            listed.add(entry.id());
            notices.of(entry.id());
            Backend backend = byId.get(entry.id());
            if (backend == null) {
                LOG.infof(
                        "Backend server %s of service %s at %s was added to the list, role %s",
                        entry.id(), entry.service(), entry.address(), entry.role());
                byId.put(
                        entry.id(),
                        new Backend(
                                entry, estimates(entry.service()), workTimes(entry.service()), notices, links, now));
            } else {
                logChange(backend.entry(), entry);
                backend.update(entry, now);
                backend.reportSpeed(speeds, now);
            }
        }
        List<Backend> removed = new ArrayList<>();
        byId.values().removeIf(backend -> {
            if (listed.contains(backend.id())) {
                return false;
            }
            LOG.infof("Backend server %s was removed from the list and gets no more requests", backend.id());
            backend.onRemoved();
            removed.add(backend);
            return true;
        });
        return removed;
    }

    private static void logChange(BackendEntry before, BackendEntry after) {
        if (before.isDraining() != after.isDraining() || before.role() != after.role()) {
            LOG.infof(
                    "Backend server %s is now %s, role %s",
                    after.id(), after.isDraining() ? "draining" : "ready", after.role());
        }
    }

    /** Returns the estimates for the servers of the service. */
    public EngineEstimates estimates(String service) {
        return estimatesByService.computeIfAbsent(service, id -> EngineEstimates.create());
    }

    private WorkTimes workTimes(String service) {
        return workTimesByService.computeIfAbsent(service, id -> WorkTimes.create());
    }

    /**
     * Returns whether servers of the service are chosen by expected time: most of those that report their load also
     * state that of their machines.
     */
    boolean choosesByTime(String service, long nowNanos) {
        int reporting = 0;
        int stating = 0;
        for (Backend backend : byId.values()) {
            if (backend.hasReportedLoad() && backend.entry().service().equals(service)) {
                reporting++;
                stating += backend.speed().isReported(nowNanos) ? 1 : 0;
            }
        }
        return 2 * stating > reporting;
    }

    /**
     * Returns how many decode servers one prefill server of the service keeps busy, or 0 if it is not known.
     *
     * <p>The speed of an idle server is that of the fastest ones; where servers differ, the mean of their speeds
     * counts.
     *
     * @param serverMemoryTokens memory of one decode server in tokens
     */
    public double decodeServersPerPrefillServer(String service, long serverMemoryTokens) {
        long now = nanoTime.getAsLong();
        double slowness = choosesByTime(service, now) ? meanPrefillSlowness(service, now) : 1;
        return estimates(service).decodeServersPerPrefillServer(serverMemoryTokens, slowness);
    }

    private double meanPrefillSlowness(String service, long now) {
        double meanSpeed = byId.values().stream()
                .filter(backend -> backend.role() == Role.PREFILL
                        && backend.entry().service().equals(service))
                .mapToDouble(backend -> 1 / backend.speed().meanSlowness(now))
                .average()
                .orElse(1);
        return 1 / meanSpeed;
    }

    SpeedListener speeds() {
        return speeds;
    }

    /** Returns all listed backend servers. */
    public Collection<Backend> all() {
        return byId.values();
    }
}
