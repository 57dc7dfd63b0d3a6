package io.chivehollow.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.fairness.Priority;
import io.chivehollow.coordination.memory.BlockLedger;
import io.chivehollow.coordination.placement.Candidate;
import io.chivehollow.coordination.placement.Load;
import io.chivehollow.coordination.placement.PlacementPolicy;
import io.chivehollow.coordination.placement.PlacementRequest;
import io.chivehollow.coordination.placement.PlacementRequest.ServerRole;
import io.chivehollow.replay.Trace.Fault;
import io.chivehollow.replay.Trace.Role;
import io.chivehollow.replay.Trace.Server;

/**
 * Simulates a well configured, general-purpose load balancer in front of the same engines; requests queue in the
 * engines.
 *
 * <p>It polls the engine loads every 500 ms and adds the requests that each gateway has sent since the poll. It
 * forwards priorities, closes the connection to the engine when a caller disconnects, skips servers that are down,
 * sends only part of the load to servers that have just returned (slow start), and retries a request once if the result
 * of its prefill has expired. Not thread-safe.
 */
final class BaselineRouter implements Router {

    private static final long POLL_US = 500_000;
    private static final long SLOW_START_US = 30_000_000;
    private static final double SLOW_START_MIN = 0.1;
    private static final long CONNECTION_TIMEOUT_US = 2_000_000;

    private final VirtualClock clock;
    private final CostModel model;
    private final RunStats stats;
    private final PlacementPolicy prefillPolicy;
    private final PlacementPolicy decodePolicy;
    private final Random random;
    private final FailureDomainStates domainStates;
    private final PlainServices plainServices;
    private final PlacementPolicy plainPolicy;
    private final List<Server> servers;
    private final Map<BackendServerId, PrefillEngine> prefillEngines = new LinkedHashMap<>();
    private final Map<BackendServerId, DecodeQueue> decodeQueues = new LinkedHashMap<>();
    private final Map<BackendServerId, Load> polledLoads = new HashMap<>();
    private final List<Map<BackendServerId, Integer>> sentSincePoll = new ArrayList<>();
    private final Map<BackendServerId, Long> returnedUs = new HashMap<>();
    private final Map<Request, Long> prefillUsByRequest = new HashMap<>();
    private final List<Request> requests = new ArrayList<>();

    /**
     * Creates a router.
     *
     * @param policies the policies for prefill, decode and ordinary calls, in this order; separate instances because a
     *     policy may be stateful, as round robin is
     */
    BaselineRouter(
            VirtualClock clock,
            CostModel model,
            RunStats stats,
            List<Server> servers,
            List<PlacementPolicy> policies,
            long seed) {
        this.clock = clock;
        this.model = model;
        this.stats = stats;
        this.servers = servers;
        this.prefillPolicy = policies.get(0);
        this.decodePolicy = policies.get(1);
        this.plainPolicy = policies.get(2);
        this.random = new Random(seed);
        this.domainStates = new FailureDomainStates(clock, stats, seed + 1);
        this.plainServices = new PlainServices(clock, servers, domainStates, false);
        for (Server server : servers) {
            if (server.role() == Role.PREFILL) {
                prefillEngines.put(server.id(), new PrefillEngine(clock, stats));
            } else if (server.role() == Role.DECODE) {
                decodeQueues.put(server.id(), new DecodeQueue(server));
            }
        }
        for (int gateway = 0; gateway < TraceGenerator.GATEWAYS; gateway++) {
            sentSincePoll.add(new HashMap<>());
        }
        poll();
    }

    @Override
    public void onArrival(Request request) {
        requests.add(request);
        if (request.arrival.kind() == Trace.RequestKind.PLAIN) {
            plainServices.place(request, plainPolicy, model.oneWayUs(), random);
        } else {
            dispatchPrefill(request);
        }
    }

    @Override
    public void onCallerDisconnected(Request request) {
        clock.scheduleAfter(model.oneWayUs(), () -> cancel(request));
    }

    @Override
    public void onFault(Fault fault) {
        switch (fault.type()) {
            case OUT -> domainStates.publish(FailureDomain.of(fault.target()), true, servers);
            case IN -> {
                FailureDomain domain = FailureDomain.of(fault.target());
                domainStates.publish(domain, false, servers);
                for (Server server : servers) {
                    if (server.domain().equals(domain)) {
                        returnToService(server);
                    }
                }
            }
            case BOOT -> {
                DecodeQueue queue = decodeQueues.get(BackendServerId.of(fault.target()));
                queue.restart(CostModel.ENGINE_RESTART_US);
                returnedUs.put(queue.server.id(), clock.nowUs() + CostModel.ENGINE_RESTART_US);
            }
            case COLD -> decodeQueues
                    .get(BackendServerId.of(fault.target()))
                    .engine
                    .becomeCold();
            case GATEWAY -> clock.scheduleAfter(CONNECTION_TIMEOUT_US, () -> requests.stream()
                    .filter(r -> r.outcome == Request.Outcome.CANCELLED)
                    .forEach(this::cancel));
            default -> throw new IllegalArgumentException("unknown fault " + fault);
        }
    }

    @Override
    public double decodeOccupancy() {
        return decodeQueues.values().stream()
                .mapToDouble(DecodeQueue::occupancy)
                .average()
                .orElse(0);
    }

    private void returnToService(Server server) {
        returnedUs.put(server.id(), clock.nowUs());
        if (server.role() == Role.DECODE) {
            decodeQueues.get(server.id()).restart(0);
        } else if (server.role() == Role.PREFILL) {
            prefillEngines.get(server.id()).clearCache();
        }
    }

    private void cancel(Request request) {
        prefillEngines.values().forEach(engine -> engine.cancel(request));
        decodeQueues.values().forEach(queue -> queue.cancel(request));
        plainServices.cancel(request);
    }

    private void dispatchPrefill(Request request) {
        BackendServerId id = choose(request, ServerRole.PREFILL, prefillPolicy);
        PrefillEngine engine = prefillEngines.get(id);
        clock.scheduleAfter(model.oneWayUs(), () -> {
            if (!request.isOpen()) {
                return;
            }
            domainStates.onAccepted(server(id));
            engine.submit(request, () -> {
                prefillUsByRequest.put(request, engine.prefillUs(request));
                long expiryUs = clock.nowUs() + CostModel.PREFILL_RESULT_VALID_US;
                clock.scheduleAfter(model.oneWayUs(), () -> dispatchDecode(request, expiryUs));
            });
        });
    }

    private void dispatchDecode(Request request, long expiryUs) {
        BackendServerId id = choose(request, ServerRole.DECODE, decodePolicy);
        clock.scheduleAfter(model.oneWayUs(), () -> {
            if (request.isOpen()) {
                domainStates.onAccepted(server(id));
                decodeQueues.get(id).enqueue(request, expiryUs);
            }
        });
    }

    private void retryAfterWastedPrefill(Request request) {
        stats.wastedPrefillUs += prefillUsByRequest.getOrDefault(request, 0L);
        if (!request.isOpen()) {
            return;
        }
        request.restarts++;
        if (request.restarts > 1 || request.firstTokenUs >= 0) {
            request.outcome = Request.Outcome.FAILED;
            request.endedUs = clock.nowUs();
        } else {
            dispatchPrefill(request);
        }
    }

    private BackendServerId choose(Request request, ServerRole phase, PlacementPolicy policy) {
        int gateway = request.arrival.gateway();
        Role role = phase == ServerRole.PREFILL ? Role.PREFILL : Role.DECODE;
        List<Candidate> candidates = new ArrayList<>();
        List<Candidate> fallback = new ArrayList<>();
        for (Server server : servers) {
            if (server.role() != role) {
                continue;
            }
            Candidate candidate = new Candidate(server.id(), server.domain(), estimatedLoad(gateway, server), 0, 0);
            fallback.add(candidate);
            if (isAvailable(gateway, server)) {
                candidates.add(candidate);
            }
        }
        PlacementRequest placement = new PlacementRequest(phase, request.arrival.promptTokens(), request.blocks);
        BackendServerId id = policy.rank(placement, candidates.isEmpty() ? fallback : candidates, random)
                .get(0)
                .server();
        sentSincePoll.get(gateway).merge(id, 1, Integer::sum);
        return id;
    }

    private boolean isAvailable(int gateway, Server server) {
        boolean down = server.role() == Role.DECODE
                && decodeQueues.get(server.id()).engine.isDown();
        if (down || domainStates.isOutForGateway(gateway, server)) {
            return false;
        }
        Long serverReturnedUs = returnedUs.get(server.id());
        return serverReturnedUs == null
                || random.nextDouble()
                        < Math.max(SLOW_START_MIN, (double) (clock.nowUs() - serverReturnedUs) / SLOW_START_US);
    }

    private Load estimatedLoad(int gateway, Server server) {
        Load load = polledLoads.get(server.id());
        int sent = sentSincePoll.get(gateway).getOrDefault(server.id(), 0);
        return new Load(
                load.freeBlocks(), load.totalBlocks(), load.running(), load.queued() + sent, 0, 20, false, false);
    }

    private void poll() {
        sentSincePoll.forEach(Map::clear);
        prefillEngines.forEach(
                (id, engine) -> polledLoads.put(id, new Load(0, 0, engine.requestCount(), 0, 0, 1, false, false)));
        decodeQueues.forEach((id, queue) -> polledLoads.put(id, queue.load()));
        clock.scheduleAfter(POLL_US, this::poll);
    }

    private Server server(BackendServerId id) {
        return servers.stream().filter(s -> s.id().equals(id)).findFirst().orElseThrow();
    }

    /** The queue of a decode engine, by priority and then in order of arrival; its head waits for memory. */
    private final class DecodeQueue {
        private final Server server;
        private final BlockLedger ledger = BlockLedger.create(model.totalBlocks());
        private final DecodeEngine engine;
        private final Deque<QueuedRequest> interactive = new ArrayDeque<>();
        private final Deque<QueuedRequest> batch = new ArrayDeque<>();

        DecodeQueue(Server server) {
            this.server = server;
            this.engine = new DecodeEngine(clock, model, stats, this::onFinished, stepMs -> {});
        }

        void enqueue(Request request, long expiryUs) {
            if (engine.isDown()) {
                dispatchDecode(request, expiryUs);
                return;
            }
            QueuedRequest queued = new QueuedRequest(request, expiryUs);
            (request.priority() == Priority.INTERACTIVE ? interactive : batch).add(queued);
            clock.scheduleAt(expiryUs, () -> {
                if (interactive.remove(queued) || batch.remove(queued)) {
                    retryAfterWastedPrefill(request);
                    admit();
                }
            });
            admit();
        }

        void cancel(Request request) {
            interactive.removeIf(w -> w.request() == request);
            batch.removeIf(w -> w.request() == request);
            engine.cancel(request);
            if (ledger.release(request.id) > 0) {
                stats.onMemoryReleased(request, clock.nowUs());
                admit();
            }
        }

        void restart(long restartUs) {
            List<Request> lost = new ArrayList<>(engine.restart(restartUs));
            interactive.forEach(w -> lost.add(w.request()));
            batch.forEach(w -> lost.add(w.request()));
            interactive.clear();
            batch.clear();
            ledger.clear();
            lost.forEach(BaselineRouter.this::retryAfterWastedPrefill);
        }

        Load load() {
            int queued = interactive.size() + batch.size();
            return new Load(
                    ledger.freeBlocks(), ledger.totalBlocks(), ledger.grantCount(), queued, 0, 20, false, false);
        }

        double occupancy() {
            double memory = 1 - (double) ledger.freeBlocks() / ledger.totalBlocks();
            return Math.max(memory, (double) ledger.grantCount() / CostModel.MAX_RUNNING);
        }

        private void admit() {
            while (ledger.grantCount() < CostModel.MAX_RUNNING && !(interactive.isEmpty() && batch.isEmpty())) {
                Deque<QueuedRequest> queue = interactive.isEmpty() ? batch : interactive;
                Request request = queue.element().request();
                if (!ledger.tryGrant(request.id, request.arrival.gateway(), request.blocks)) {
                    return;
                }
                long expiryUs = queue.remove().expiryUs();
                OptionalLong endUs = engine.scheduleTransfer(request, expiryUs);
                if (endUs.isEmpty()) {
                    ledger.release(request.id);
                    retryAfterWastedPrefill(request);
                    continue;
                }
                clock.scheduleAt(endUs.getAsLong(), () -> {
                    if (ledger.blocksOf(request.id) > 0) {
                        engine.start(request);
                    }
                });
            }
        }

        private void onFinished(Request request) {
            ledger.release(request.id);
            stats.onMemoryReleased(request, clock.nowUs());
            if (request.isOpen()) {
                request.outcome = Request.Outcome.DONE;
                request.endedUs = clock.nowUs();
            }
            admit();
        }
    }

    private record QueuedRequest(Request request, long expiryUs) {}
}
