package io.chivehollow.replay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.chivehollow.base.FailureDomain;
import io.chivehollow.replay.Trace.Server;

/**
 * Simulates the propagation of failure domain states to gateways and sidecars. Each process receives a change 0.2 to
 * 2.5 s after it was made.
 *
 * <p>Not thread-safe.
 */
final class FailureDomainStates {

    private static final int MIN_DELAY_MS = 200;
    private static final int MAX_DELAY_MS = 2_500;
    private static final long MAX_ACCEPT_DELAY_US = 3_000_000;

    private final VirtualClock clock;
    private final RunStats stats;
    private final Random random;
    private final Map<FailureDomain, Long> outSinceUs = new HashMap<>();
    private final Map<String, Set<FailureDomain>> outDomainsByProcess = new HashMap<>();

    FailureDomainStates(VirtualClock clock, RunStats stats, long seed) {
        this.clock = clock;
        this.stats = stats;
        this.random = new Random(seed);
    }

    void publish(FailureDomain domain, boolean out, List<Server> servers) {
        if (out) {
            outSinceUs.put(domain, clock.nowUs());
        } else {
            outSinceUs.remove(domain);
        }
        for (int gateway = 0; gateway < TraceGenerator.GATEWAYS; gateway++) {
            notifyProcess(gatewayName(gateway), domain, out);
        }
        for (Server server : servers) {
            notifyProcess(server.id().value(), domain, out);
        }
    }

    boolean isOutForGateway(int gateway, Server server) {
        return outDomainsByProcess.getOrDefault(gatewayName(gateway), Set.of()).contains(server.domain());
    }

    boolean isOutForSidecar(Server server) {
        return outDomainsByProcess.getOrDefault(server.id().value(), Set.of()).contains(server.domain());
    }

    /** Counts new work that a server has accepted too long after its failure domain was taken out of service. */
    void onAccepted(Server server) {
        Long sinceUs = outSinceUs.get(server.domain());
        if (sinceUs != null && clock.nowUs() > sinceUs + MAX_ACCEPT_DELAY_US) {
            stats.acceptedInDomainOut++;
        }
    }

    private void notifyProcess(String process, FailureDomain domain, boolean out) {
        long delayUs = 1_000L * (MIN_DELAY_MS + random.nextInt(MAX_DELAY_MS - MIN_DELAY_MS));
        clock.scheduleAfter(delayUs, () -> {
            Set<FailureDomain> domains = outDomainsByProcess.computeIfAbsent(process, p -> new HashSet<>());
            if (out) {
                domains.add(domain);
            } else {
                domains.remove(domain);
            }
        });
    }

    private static String gatewayName(int gateway) {
        return "gateway-" + gateway;
    }
}
