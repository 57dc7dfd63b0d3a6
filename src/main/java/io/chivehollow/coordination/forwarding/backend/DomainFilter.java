package io.chivehollow.coordination.forwarding.backend;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.forwarding.locality.DomainOption;
import io.chivehollow.coordination.forwarding.locality.Locality;

/**
 * Narrows the candidates for a request to those of the failure domain that should serve it.
 *
 * <p>Used on the event loop of the forwarding role only.
 */
final class DomainFilter {

    private final Locality locality;

    DomainFilter(Locality locality) {
        this.locality = locality;
    }

    /**
     * Returns the candidates in the failure domain that is chosen.
     *
     * @param candidates servers that may receive the request
     * @param waitMs expected time in milliseconds that the request waits at a candidate, infinite if it has no room
     */
    List<Backend> narrow(
            String service,
            List<Backend> candidates,
            ToDoubleFunction<Backend> waitMs,
            Predicate<FailureDomain> isOutOfService,
            long nowNanos) {
        if (!locality.isOn()) {
            return candidates;
        }
        Map<FailureDomain, Double> waits = new HashMap<>();
        for (Backend candidate : candidates) {
            waits.merge(candidate.entry().domain(), waitMs.applyAsDouble(candidate), Math::min);
        }
        List<DomainOption> options = waits.entrySet().stream()
                .map(entry -> new DomainOption(entry.getKey(), entry.getValue()))
                .toList();
        return locality.choose(service, options, isOutOfService.test(locality.home()), nowNanos)
                .map(chosen -> candidates.stream()
                        .filter(candidate -> candidate.entry().domain().equals(chosen))
                        .toList())
                .orElse(List.of());
    }

    /**
     * Returns the expected time in milliseconds until a usual prompt is processed for a decode server in each domain of
     * the candidates, 0 if there are no prefill servers.
     *
     * <p>Prefill servers of other domains count only for domains that have none: a request that leaves as a whole moves
     * few bytes, while the KV cache of its prompt alone has many.
     *
     * @param prefillServers servers that may process the prompt
     * @param prefillMs expected time in milliseconds until a server has processed it
     */
    static Map<FailureDomain, Double> promptTimes(
            List<Backend> candidates,
            List<Backend> prefillServers,
            ToDoubleFunction<Backend> prefillMs,
            double transferCostMs) {
        Map<FailureDomain, Double> ownTimes = new HashMap<>();
        for (Backend server : prefillServers) {
            ownTimes.merge(server.entry().domain(), prefillMs.applyAsDouble(server), Math::min);
        }
        double shortestMs = ownTimes.values().stream()
                .mapToDouble(Double::doubleValue)
                .min()
                .orElse(0);
        double otherMs = ownTimes.isEmpty() ? 0 : shortestMs + transferCostMs;
        Map<FailureDomain, Double> times = new HashMap<>();
        for (Backend candidate : candidates) {
            FailureDomain domain = candidate.entry().domain();
            times.put(domain, ownTimes.getOrDefault(domain, otherMs));
        }
        return times;
    }
}
