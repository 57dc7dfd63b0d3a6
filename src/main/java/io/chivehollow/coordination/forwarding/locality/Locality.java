package io.chivehollow.coordination.forwarding.locality;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.forwarding.locality.LocalityMetrics.ByteKind;
import org.jspecify.annotations.Nullable;

/**
 * Decides which requests of this instance leave its failure domain, and accounts for the bytes that do.
 *
 * <p>Each process decides for its own requests from its own observations; nothing is shared with other processes. Used
 * on the event loop of the forwarding role only.
 */
public final class Locality {

    /** Size of a request and its response until the first ones have been counted. */
    private static final double START_REQUEST_BYTES = 10_000;

    /** Weight of a request in the mean size. */
    private static final double SIZE_WEIGHT = 0.1;

    private static final Locality OFF = new Locality(
            FailureDomain.of("none"),
            LocalityLimits.UNLIMITED,
            service -> ServiceFigures.UNKNOWN,
            new MetricRegistry());

    private final FailureDomain home;
    private final Function<String, ServiceFigures> figures;
    private final LocalityMetrics metrics;
    private final DomainLinks links;
    private final ByteBudget budget;
    private final ByteBudget kvBudget;
    private final LeavingCost cost;
    private final DomainChooser chooser;
    private final Map<String, LeaveReason> lastReasons = new HashMap<>();
    private final Map<String, Double> meanBytes = new HashMap<>();

    private Locality(
            FailureDomain home,
            LocalityLimits limits,
            Function<String, ServiceFigures> figures,
            MetricRegistry registry) {
        this.home = home;
        this.figures = figures;
        this.metrics = new LocalityMetrics(registry);
        this.links = new DomainLinks(home);
        this.budget = new ByteBudget(limits.bytesPerSecond());
        this.kvBudget = new ByteBudget(limits.kvBytesPerSecond());
        this.cost = new LeavingCost(home, links, budget, limits.linkMegabitsPerSecond());
        this.chooser = new DomainChooser(home, links, cost);
    }

    /**
     * Returns the decisions of an instance.
     *
     * @param home failure domain of the instance
     * @param limits bounds of what may leave
     * @param figures what the deployment in effect states about a service
     * @param registry registry of the metrics
     */
    public static Locality create(
            FailureDomain home,
            LocalityLimits limits,
            Function<String, ServiceFigures> figures,
            MetricRegistry registry) {
        return new Locality(home, limits, figures, registry);
    }

    /** Returns an instance for a process that does not regard failure domains: it decides and records nothing. */
    public static Locality off() {
        return OFF;
    }

    /** Returns whether failure domains are regarded. */
    public boolean isOn() {
        return this != OFF;
    }

    /** Returns the failure domain of this instance. */
    public FailureDomain home() {
        return home;
    }

    /** Returns the cost of leaving. */
    public DomainCost cost() {
        return isOn() ? cost : DomainCost.none();
    }

    /** Returns the receiver of what calls show about the paths to the domains. */
    public LinkObserver links() {
        return isOn() ? links : LinkObserver.NONE;
    }

    /** Returns the expected size of a request to the service and its response in bytes. */
    public long expectedBytes(String service) {
        return meanBytes.getOrDefault(service, START_REQUEST_BYTES).longValue();
    }

    /**
     * Returns the failure domain whose servers should get a request of the service, or an empty value if there is no
     * option.
     *
     * @param options the domains with servers that may receive the request
     * @param isHomeOutOfService whether operators have taken the own domain out of service
     */
    public Optional<FailureDomain> choose(
            String service, Collection<DomainOption> options, boolean isHomeOutOfService, long nowNanos) {
        double targetMs = figures.apply(service).targetMs();
        return chooser.choose(service, options, targetMs, expectedBytes(service), isHomeOutOfService, nowNanos)
                .map(choice -> {
                    if (choice.reason() != null) {
                        lastReasons.put(service, choice.reason());
                    } else if (choice.obstacle() != Obstacle.NONE) {
                        metrics.onHeldBack(choice.obstacle());
                    }
                    return choice.domain();
                });
    }

    /**
     * Returns the time in milliseconds by which the prefill of a prompt should prefer the failure domain of its decode
     * server, infinite if no bytes of KV caches are left.
     *
     * <p>A transfer between domains takes twice as long. A prompt that waits less than the smallest gain is on time in
     * either domain, so that its bytes would gain nothing.
     */
    public double transferCostMs(String service, long tokens, long nowNanos) {
        ServiceFigures stated = figures.apply(service);
        return kvBudget.has(stated.kvBytes(tokens), nowNanos)
                ? stated.kvTransferMs(tokens) + stated.targetMs() * DomainChooser.MIN_GAIN_TARGET_SHARE
                : Double.POSITIVE_INFINITY;
    }

    /**
     * Records a request that is sent to a server of the domain.
     *
     * @param isPrefill whether only the prompt is sent, which follows the domain of the run
     * @return text for the log: why the run leaves its domain, or null if it does not
     */
    public @Nullable String onSent(
            String service, FailureDomain domain, boolean isPrefill, long requestBytes, long nowNanos) {
        if (!isOn()) {
            return null;
        }
        boolean isLeaving = !domain.equals(home);
        if (isLeaving) {
            onBytes(ByteKind.REQUEST, requestBytes, nowNanos);
        }
        if (isPrefill) {
            return null;
        }
        metrics.onSent(service, isLeaving);
        if (!isLeaving) {
            return null;
        }
        LeaveReason reason = lastReasons.getOrDefault(service, LeaveReason.ANY_DOMAIN);
        metrics.onLeft(reason);
        return LocalityMetrics.text(reason);
    }

    /** Records a part of a response of a server of the domain. */
    public void onResponseBytes(FailureDomain domain, long bytes, long nowNanos) {
        if (isOn() && !domain.equals(home)) {
            onBytes(ByteKind.RESPONSE, bytes, nowNanos);
        }
    }

    /** Records the size of a request and its complete response. */
    public void onRequestEnd(String service, long bytes) {
        if (isOn()) {
            double mean = meanBytes.getOrDefault(service, START_REQUEST_BYTES);
            meanBytes.put(service, mean + (bytes - mean) * SIZE_WEIGHT);
        }
    }

    /** Records a prompt whose KV cache moves between servers of the two domains. */
    public void onTransfer(String service, FailureDomain source, FailureDomain target, long tokens, long nowNanos) {
        if (isOn() && !source.equals(target)) {
            long bytes = figures.apply(service).kvBytes(tokens);
            kvBudget.onBytes(bytes, nowNanos);
            metrics.onBytes(ByteKind.KV_CACHE, bytes);
        }
    }

    private void onBytes(ByteKind kind, long bytes, long nowNanos) {
        budget.onBytes(bytes, nowNanos);
        metrics.onBytes(kind, bytes);
    }
}
