package io.chivehollow.coordination.forwarding.pressure;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;
import io.chivehollow.settings.ProcessLimits;
import org.jboss.logging.Logger;

/**
 * What a process holds for callers and backend servers, how much of its resources it uses, and which new requests it
 * therefore refuses.
 *
 * <p>Used on the event loop of the forwarding role only, apart from the metrics.
 */
public final class ProcessPressure {

    private static final Logger LOG = Logger.getLogger(ProcessPressure.class);

    private static final String PREFIX = "forwarding.";
    /** The gauges are renewed every second, like those of the other roles. */
    private static final long PUBLISH_TICKS = 1_000 / ProcessLoad.TICK_MS;

    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(ProcessLoad.TICK_MS);

    private final LongSupplier nanoTime;
    private final HeldBytes held;
    private final ProcessLoad load;
    private final RefusalShare refusals = RefusalShare.create();
    private final MetricRegistry registry;
    private long ticks;
    private long lastStepNanos;
    private long refusedRequests;
    private Resource scarceResource = Resource.PROCESSOR;

    private ProcessPressure(ProcessLimits limits, long heldLimitBytes, LongSupplier nanoTime, MetricRegistry registry) {
        this.nanoTime = nanoTime;
        this.held = HeldBytes.create(heldLimitBytes);
        this.lastStepNanos = nanoTime.getAsLong();
        this.load = ProcessLoad.create(limits, lastStepNanos);
        this.registry = registry;
    }

    /**
     * Returns an instance that holds nothing and refuses nothing.
     *
     * @param limits limits of the process; a resource without a known limit is never overloaded
     * @param heldLimitBytes bound on the bytes that are held for callers and backend servers
     * @param nanoTime monotonic clock in nanoseconds
     */
    public static ProcessPressure create(
            ProcessLimits limits, long heldLimitBytes, LongSupplier nanoTime, MetricRegistry registry) {
        return new ProcessPressure(limits, heldLimitBytes, nanoTime, registry);
    }

    /** Returns an instance whose bound on held bytes follows from the heap and the limits. */
    public static ProcessPressure create(ProcessLimits limits, LongSupplier nanoTime, MetricRegistry registry) {
        long heldLimitBytes = MemoryBound.limitBytes(Runtime.getRuntime().maxMemory(), limits);
        LOG.infof(
                "Holds at most %d bytes for callers and backend servers; limits of the process: %s",
                heldLimitBytes, limits);
        return create(limits, heldLimitBytes, nanoTime, registry);
    }

    /** Returns the bytes that the process holds. */
    public HeldBytes held() {
        return held;
    }

    /** Returns whether so many descriptors are in use that responses should end their connections. */
    public boolean areDescriptorsShort() {
        return load.areDescriptorsShort();
    }

    /** Counts bytes that cross the link in one direction. */
    public void onLinkBytes(long bytes) {
        load.onLinkBytes(bytes);
    }

    /** Records the periodic timer, see {@link ProcessLoad#onTick}. */
    public void onTick(int openConnections, long shortestTargetMs) {
        long nowNanos = nanoTime.getAsLong();
        load.onTick(nowNanos, openConnections, shortestTargetMs);
        stepIfDue(nowNanos);
        if (++ticks % PUBLISH_TICKS == 0) {
            publish();
        }
    }

    /**
     * Returns whether a new request is refused.
     *
     * @param priority returns the priority of the request; called only if requests are being refused
     */
    public boolean refuses(IntSupplier priority) {
        long nowNanos = nanoTime.getAsLong();
        load.onEvent(nowNanos);
        stepIfDue(nowNanos);
        if (!refusals.isActive() || !refusals.refuses(priority.getAsInt())) {
            return false;
        }
        refusedRequests++;
        registry.counter(PREFIX + "refused_early." + scarceResource.wireName()).inc();
        return true;
    }

    /** Returns the time in milliseconds after which a refused request should be sent again. */
    public long retryAfterMs() {
        return refusals.retryAfterMs();
    }

    /** Counts a request that was let go. */
    public void onLetGo(HeldRequest request) {
        registry.counter(PREFIX + "let_go." + request.stage().name().toLowerCase(Locale.ROOT))
                .inc();
    }

    private void stepIfDue(long nowNanos) {
        if (nowNanos - lastStepNanos < STEP_NANOS) {
            return;
        }
        lastStepNanos = nowNanos;
        load.measureDelay();
        boolean wasActive = refusals.isActive();
        refusals.update(load.use(Resource.PROCESSOR), load.levelUse());
        if (refusals.isActive() && !wasActive) {
            scarceResource = load.scarcest();
            LOG.warnf(
                    "Refuses a share of the new requests: %s is used at %.2f of its bound; loop delay %.0f ms",
                    scarceResource.wireName(), load.use(scarceResource), load.delayMs());
        } else if (wasActive && !refusals.isActive()) {
            LOG.infof("Accepts all new requests again; %d were refused", refusedRequests);
            refusedRequests = 0;
        }
    }

    private void publish() {
        for (HeldBytes.Kind kind : HeldBytes.Kind.values()) {
            set("held_bytes." + kind.name().toLowerCase(Locale.ROOT), held.bytes(kind));
        }
        set("held_bytes.max", held.maxTotalBytes());
        set("held_bytes.limit", held.limitBytes());
        set("loop_delay_ms", load.delayMs());
        set("refused_early_share", refusals.share());
        set("link_use", load.use(Resource.LINK));
    }

    private void set(String name, Number value) {
        SettableGauge<Number> gauge = registry.gauge(PREFIX + name);
        gauge.setValue(value);
    }
}
