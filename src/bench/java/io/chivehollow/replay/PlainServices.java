package io.chivehollow.replay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.fairness.FairQueue;
import io.chivehollow.coordination.fairness.Priority;
import io.chivehollow.coordination.placement.Candidate;
import io.chivehollow.coordination.placement.Load;
import io.chivehollow.coordination.placement.PlacementPolicy;
import io.chivehollow.coordination.placement.PlacementRequest;
import io.chivehollow.replay.Trace.Role;
import io.chivehollow.replay.Trace.Server;

/**
 * Simulates the ordinary services of a deployment: each backend server has a few workers and a queue in front of them.
 *
 * <p>Not thread-safe.
 */
final class PlainServices {

    // The team of all requests if fair sharing is disabled.
    private static final TeamId SINGLE_TEAM = TeamId.of("shared");
    private static final PlacementRequest PLACEMENT = new PlacementRequest(PlacementRequest.ServerRole.PLAIN, 0, 0);

    private final VirtualClock clock;
    private final FailureDomainStates domainStates;
    private final boolean fairShare;
    private final Map<BackendServerId, PlainServer> servers = new LinkedHashMap<>();

    PlainServices(VirtualClock clock, List<Server> servers, FailureDomainStates domainStates, boolean fairShare) {
        this.clock = clock;
        this.domainStates = domainStates;
        this.fairShare = fairShare;
        for (Server server : servers) {
            if (server.role() == Role.PLAIN) {
                this.servers.put(server.id(), new PlainServer(server));
            }
        }
    }

    void place(Request request, PlacementPolicy policy, long halfTripUs, RandomGenerator random) {
        List<Candidate> candidates = new ArrayList<>();
        for (PlainServer server : servers.values()) {
            if (!domainStates.isOutForGateway(request.arrival.gateway(), server.server)) {
                candidates.add(new Candidate(server.server.id(), server.server.domain(), server.reportedLoad, 0, 0));
            }
        }
        List<Candidate> ranking = policy.rank(PLACEMENT, candidates, random);
        if (ranking.isEmpty()) {
            request.outcome = Request.Outcome.REFUSED;
            return;
        }
        PlainServer server = servers.get(ranking.get(0).server());
        clock.scheduleAfter(halfTripUs, () -> {
            if (request.isOpen()) {
                domainStates.onAccepted(server.server);
                server.queue.add(fairShare ? request.arrival.team() : SINGLE_TEAM, 1, Priority.INTERACTIVE, 1, request);
                server.startQueued();
                server.reportedLoad = server.load();
            }
        });
    }

    void cancel(Request request) {
        servers.values().forEach(server -> server.queue.remove(request));
    }

    private final class PlainServer {
        private final Server server;
        private final FairQueue<Request> queue = FairQueue.create();
        private int busyWorkers;
        private Load reportedLoad;

        PlainServer(Server server) {
            this.server = server;
            this.reportedLoad = load();
        }

        Load load() {
            return new Load(0, 0, busyWorkers, queue.size(), 0, CostModel.PLAIN_WORKERS, false, false);
        }

        void startQueued() {
            while (busyWorkers < CostModel.PLAIN_WORKERS && queue.size() > 0) {
                Request request = queue.poll().orElseThrow();
                busyWorkers++;
                clock.scheduleAfter(CostModel.PLAIN_CALL_US, () -> {
                    busyWorkers--;
                    if (request.isOpen()) {
                        request.outcome = Request.Outcome.DONE;
                        request.firstTokenUs = clock.nowUs();
                        request.lastTokenUs = clock.nowUs();
                        request.endedUs = clock.nowUs();
                    }
                    startQueued();
                    reportedLoad = load();
                });
            }
        }
    }
}
