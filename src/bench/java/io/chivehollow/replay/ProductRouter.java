package io.chivehollow.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.placement.Candidate;
import io.chivehollow.coordination.placement.Load;
import io.chivehollow.coordination.placement.PlacementPolicy;
import io.chivehollow.coordination.placement.PlacementRequest;
import io.chivehollow.coordination.placement.PlacementRequest.ServerRole;
import io.chivehollow.replay.Trace.Fault;
import io.chivehollow.replay.Trace.Role;
import io.chivehollow.replay.Trace.Server;

/**
 * Simulates the routing of chivehollow: a gateway ranks backend servers, their sidecars admit or refuse the request,
 * and decode memory is reserved before the prefill.
 *
 * <p>Not thread-safe.
 */
final class ProductRouter implements Router {

    private static final long RETRY_DELAY_US = 10_000;
    private static final long LATE_RETRY_DELAY_US = 250_000;
    private static final long CONNECTION_TIMEOUT_US = 2_000_000;

    /** The step of a request's processing at which decode memory is reserved. */
    enum Reserve {
        BEFORE_QUEUE,
        AT_GRANT,
        AFTER_PREFILL
    }

    /** Parameters of a run; immutable. */
    record Config(
            CostModel model,
            Map<TeamId, Integer> weights,
            long predictedOutputTokens,
            Reserve reserve,
            ReplaySafeguards safeguards,
            PlacementPolicy policy) {}

    private final VirtualClock clock;
    private final Config config;
    private final RunStats stats;
    private final FailureDomainStates domainStates;
    private final Random random;
    private final List<Server> servers;
    private final Map<BackendServerId, PrefillSidecar> prefillSidecars = new LinkedHashMap<>();
    private final Map<BackendServerId, DecodeSidecar> decodeSidecars = new LinkedHashMap<>();
    private final PlainServices plainServices;
    private final CacheIndex cacheIndex;
    private final List<Map<BackendServerId, ReportedLoad>> reportedLoads = new ArrayList<>();
    private final Map<Request, PrefillSidecar> prefillSidecarByRequest = new HashMap<>();
    private final Map<Request, DecodeSidecar> decodeSidecarByRequest = new HashMap<>();
    private final Map<Request, Long> prefillUsByRequest = new HashMap<>();

    ProductRouter(VirtualClock clock, Config config, RunStats stats, List<Server> servers, long seed) {
        this.clock = clock;
        this.config = config;
        this.stats = stats;
        this.servers = servers;
        this.random = new Random(seed);
        this.domainStates = new FailureDomainStates(clock, stats, seed + 1);
        this.cacheIndex = new CacheIndex(clock, seed + 2);
        this.plainServices = new PlainServices(
                clock, servers, domainStates, config.safeguards().fairShare());
        for (Server server : servers) {
            if (server.role() == Role.PREFILL) {
                PrefillEngine engine = new PrefillEngine(clock, stats);
                prefillSidecars.put(
                        server.id(),
                        new PrefillSidecar(server, engine, clock, domainStates, config, this::onPrefillReady));
            } else if (server.role() == Role.DECODE) {
                decodeSidecars.put(
                        server.id(),
                        new DecodeSidecar(
                                server,
                                clock,
                                stats,
                                domainStates,
                                config,
                                this::onDecodeDone,
                                this::onReservationLost));
            }
        }
        prefillSidecars.values().forEach(PrefillSidecar::warmUp);
        decodeSidecars.values().forEach(DecodeSidecar::warmUp);
        for (int gateway = 0; gateway < TraceGenerator.GATEWAYS; gateway++) {
            reportedLoads.add(new HashMap<>());
        }
    }

    @Override
    public void onArrival(Request request) {
        if (request.arrival.kind() == Trace.RequestKind.PLAIN) {
            plainServices.place(request, config.policy(), config.model().oneWayUs(), random);
        } else if (config.reserve() == Reserve.BEFORE_QUEUE) {
            reserve(request, () -> admit(request), () -> retryReservation(request));
        } else {
            admit(request);
        }
    }

    @Override
    public void onCallerDisconnected(Request request) {
        if (!config.safeguards().releaseMemory()) {
            return;
        }
        clock.scheduleAfter(config.model().oneWayUs(), () -> {
            PrefillSidecar prefillSidecar = prefillSidecarByRequest.get(request);
            if (prefillSidecar != null) {
                prefillSidecar.cancel(request);
            }
            release(request);
            plainServices.cancel(request);
        });
    }

    @Override
    public double decodeOccupancy() {
        return decodeSidecars.values().stream()
                .mapToDouble(DecodeSidecar::occupancy)
                .average()
                .orElse(0);
    }

    @Override
    public void onFault(Fault fault) {
        switch (fault.type()) {
            case OUT -> domainStates.publish(FailureDomain.of(fault.target()), true, servers);
            case IN -> {
                FailureDomain domain = FailureDomain.of(fault.target());
                domainStates.publish(domain, false, servers);
                decodeSidecars.values().stream()
                        .filter(d -> d.server.domain().equals(domain))
                        .forEach(d -> d.restart(0));
                prefillSidecars.values().stream()
                        .filter(p -> p.server.domain().equals(domain))
                        .forEach(p -> p.engine.clearCache());
            }
            case BOOT -> sidecar(fault).restart(CostModel.ENGINE_RESTART_US);
            case COLD -> sidecar(fault).engine.becomeCold();
            case GATEWAY -> clock.scheduleAfter(
                    CONNECTION_TIMEOUT_US, () -> onGatewayLost(Integer.parseInt(fault.target())));
            default -> throw new IllegalArgumentException("unknown fault " + fault);
        }
    }

    private DecodeSidecar sidecar(Fault fault) {
        return decodeSidecars.get(BackendServerId.of(fault.target()));
    }

    private void onGatewayLost(int gateway) {
        if (!config.safeguards().releaseMemory()) {
            return;
        }
        decodeSidecars.values().forEach(d -> d.onGatewayLost(gateway));
        for (Map.Entry<Request, PrefillSidecar> entry : List.copyOf(prefillSidecarByRequest.entrySet())) {
            Request request = entry.getKey();
            if (request.arrival.gateway() == gateway && request.outcome == Request.Outcome.CANCELLED) {
                entry.getValue().cancel(request);
            }
        }
    }

    // Step 1: admission to the queue of a prefill sidecar.
    private void admit(Request request) {
        List<Candidate> ranking = rank(request, ServerRole.PREFILL);
        if (ranking.isEmpty()) {
            clock.scheduleAfter(RETRY_DELAY_US, () -> ifActive(request, () -> admit(request)));
        } else {
            requestAdmission(request, ranking, 0);
        }
    }

    private void requestAdmission(Request request, List<Candidate> ranking, int index) {
        PrefillSidecar sidecar = prefillSidecars.get(ranking.get(index).server());
        send(() -> {
            boolean active = isActive(request);
            boolean admitted = active
                    && sidecar.tryAdmit(
                            request, request.targetUs() - clock.nowUs() - prefillEndToFirstTokenUs(request));
            if (admitted) {
                prefillSidecarByRequest.put(request, sidecar);
                request.wasQueued |= !request.late;
            }
            Load load = sidecar.load();
            send(() -> {
                recordLoad(request, sidecar.server, load);
                if (active && !admitted && isActive(request)) {
                    if (index + 1 < ranking.size()) {
                        requestAdmission(request, ranking, index + 1);
                    } else {
                        request.late |= !request.isBatch();
                        clock.scheduleAfter(RETRY_DELAY_US, () -> ifActive(request, () -> admit(request)));
                    }
                }
            });
        });
    }

    // Step 2: the prefill engine can start the request soon, so decode memory is reserved now.
    private void onPrefillReady(PrefillSidecar sidecar, Request request) {
        send(() -> {
            if (!isActive(request)) {
                send(() -> sidecar.removeReady(request));
            } else if (request.isOnTimeInteractive() && cannotMeetTarget(request, sidecar)) {
                send(() -> {
                    request.late = true;
                    sidecar.requeueAndRefund(request);
                });
            } else if (config.reserve() != Reserve.AT_GRANT || decodeSidecarByRequest.containsKey(request)) {
                startPrefill(request, sidecar);
            } else {
                reserve(request, () -> startPrefill(request, sidecar), () -> onReservationRefused(request, sidecar));
            }
        });
    }

    // A request that is already late is retried after LATE_RETRY_DELAY_US, so that it does not block batch work in the
    // queue.
    private void onReservationRefused(Request request, PrefillSidecar sidecar) {
        if (request.late) {
            send(() -> sidecar.removeReadyAndRefund(request));
            clock.scheduleAfter(LATE_RETRY_DELAY_US, () -> ifActive(request, () -> admit(request)));
            return;
        }
        request.memoryRefusals++;
        clock.scheduleAfter(RETRY_DELAY_US, () -> {
            if (isActive(request)) {
                sidecar.requeueAndRefund(request);
            } else {
                sidecar.removeReady(request);
            }
        });
    }

    private boolean cannotMeetTarget(Request request, PrefillSidecar sidecar) {
        long prefillUs = sidecar.engine.backlogUs() + sidecar.engine.prefillUs(request);
        return clock.nowUs() + prefillUs + prefillEndToFirstTokenUs(request) > request.targetUs();
    }

    // Expected time from the end of the prefill to the first token.
    private long prefillEndToFirstTokenUs(Request request) {
        return config.model().transferUs(request.arrival.promptTokens())
                + VirtualClock.msToUs(CostModel.WARM_STEP_MS * 1.5)
                + 2 * config.model().roundTripUs();
    }

    private void reserve(Request request, Runnable onGranted, Runnable onRefused) {
        requestReservation(request, rank(request, ServerRole.DECODE), 0, onGranted, onRefused);
    }

    private void requestReservation(
            Request request, List<Candidate> ranking, int index, Runnable onGranted, Runnable onRefused) {
        if (index >= ranking.size()) {
            onRefused.run();
            return;
        }
        DecodeSidecar sidecar = decodeSidecars.get(ranking.get(index).server());
        send(() -> {
            boolean granted = isActive(request) && tryReserve(sidecar, request);
            if (granted) {
                decodeSidecarByRequest.put(request, sidecar);
            }
            Load load = sidecar.load();
            send(() -> {
                recordLoad(request, sidecar.server, load);
                if (granted) {
                    onGranted.run();
                } else {
                    requestReservation(request, ranking, index + 1, onGranted, onRefused);
                }
            });
        });
    }

    private boolean tryReserve(DecodeSidecar sidecar, Request request) {
        boolean prefilled = prefillUsByRequest.containsKey(request);
        long prefillUs = prefilled ? 0 : CostModel.prefillUs(request.arrival.promptTokens());
        PrefillSidecar prefillSidecar = prefillSidecarByRequest.get(request);
        if (!prefilled && prefillSidecar != null) {
            prefillUs = prefillSidecar.engine.prefillUs(request);
        }
        long allowedTransferUs = CostModel.PREFILL_RESULT_VALID_US;
        if (request.isOnTimeInteractive() && !prefilled) {
            long remainingOverheadUs = VirtualClock.msToUs(CostModel.WARM_STEP_MS * 1.5)
                    + config.model().roundTripUs();
            allowedTransferUs =
                    Math.min(allowedTransferUs, request.targetUs() - clock.nowUs() - prefillUs - remainingOverheadUs);
        }
        return sidecar.tryReserve(request, prefillUs, allowedTransferUs);
    }

    private void retryReservation(Request request) {
        clock.scheduleAfter(
                RETRY_DELAY_US,
                () -> ifActive(request, () -> {
                    request.late |= !request.isBatch() && clock.nowUs() > request.targetUs();
                    onArrival(request);
                }));
    }

    // Step 3: the prefill.
    private void startPrefill(Request request, PrefillSidecar sidecar) {
        send(() -> {
            if (!isActive(request)) {
                sidecar.removeReady(request);
                return;
            }
            long prefillUs = sidecar.engine.prefillUs(request);
            sidecar.start(request, () -> {
                prefillUsByRequest.put(request, prefillUs);
                cacheIndex.publish(sidecar.server, request);
                long expiryUs = clock.nowUs() + CostModel.PREFILL_RESULT_VALID_US;
                send(() -> startDecode(request, expiryUs, 0));
            });
        });
    }

    // Step 4: the decode. After a failure a second backend server is tried while the prefill result is valid.
    private void startDecode(Request request, long expiryUs, int failures) {
        if (!isActive(request)) {
            return;
        }
        DecodeSidecar sidecar = decodeSidecarByRequest.get(request);
        if (sidecar != null) {
            send(() -> sidecar.startDecode(request, expiryUs, () -> {
                decodeSidecarByRequest.remove(request);
                send(() -> startDecode(request, expiryUs, failures + 1));
            }));
        } else if (failures > 1 || clock.nowUs() + config.model().roundTripUs() > expiryUs) {
            restartAfterWastedPrefill(request);
        } else {
            reserve(
                    request,
                    () -> startDecode(request, expiryUs, failures),
                    () -> clock.scheduleAfter(RETRY_DELAY_US, () -> startDecode(request, expiryUs, failures)));
        }
    }

    private void restartAfterWastedPrefill(Request request) {
        Long prefillUs = prefillUsByRequest.remove(request);
        stats.wastedPrefillUs += prefillUs == null ? 0 : prefillUs;
        restart(request);
    }

    private void restart(Request request) {
        request.restarts++;
        if (request.restarts > 1 || request.firstTokenUs >= 0) {
            end(request, Request.Outcome.FAILED);
        } else {
            onArrival(request);
        }
    }

    // The decode engine has restarted. A request whose decode had started fails or is restarted. A request whose
    // prefill is pending or running reserves memory again after the prefill.
    private void onReservationLost(Request request) {
        decodeSidecarByRequest.remove(request);
        if (request.isOpen() && request.decodeStartUs >= 0) {
            send(() -> ifActive(request, () -> restartAfterWastedPrefill(request)));
        }
    }

    private void onDecodeDone(Request request) {
        decodeSidecarByRequest.remove(request);
        PrefillSidecar sidecar = prefillSidecarByRequest.remove(request);
        if (sidecar != null) {
            sidecar.adjustCharge(request);
        }
        if (request.isOpen()) {
            end(request, Request.Outcome.DONE);
        }
    }

    private void end(Request request, Request.Outcome outcome) {
        request.outcome = outcome;
        request.endedUs = clock.nowUs();
        release(request);
    }

    private void release(Request request) {
        DecodeSidecar sidecar = decodeSidecarByRequest.remove(request);
        if (sidecar != null) {
            sidecar.release(request);
        }
        prefillSidecarByRequest.remove(request);
        prefillUsByRequest.remove(request);
    }

    // A request whose caller has cancelled or disconnected continues if the release of memory is disabled.
    private boolean isActive(Request request) {
        return request.isOpen()
                || (request.outcome == Request.Outcome.CANCELLED
                        && !config.safeguards().releaseMemory());
    }

    private void ifActive(Request request, Runnable action) {
        if (isActive(request)) {
            action.run();
        }
    }

    private void send(Runnable onReceipt) {
        clock.scheduleAfter(config.model().oneWayUs(), onReceipt);
    }

    private void recordLoad(Request request, Server server, Load load) {
        reportedLoads.get(request.arrival.gateway()).put(server.id(), new ReportedLoad(load, clock.nowUs()));
    }

    private List<Candidate> rank(Request request, ServerRole phase) {
        int gateway = request.arrival.gateway();
        List<Candidate> candidates = new ArrayList<>();
        for (Server server : servers) {
            boolean matches = server.role() == (phase == ServerRole.PREFILL ? Role.PREFILL : Role.DECODE);
            boolean outOfService =
                    config.safeguards().refuseWhenOutOfService() && domainStates.isOutForGateway(gateway, server);
            if (matches && !outOfService) {
                ReportedLoad reported =
                        reportedLoads.get(gateway).computeIfAbsent(server.id(), id -> initialLoad(server));
                long ageMs = (clock.nowUs() - reported.receivedUs()) / 1_000;
                int cachedTokens = cacheIndex.cachedTokens(server, request);
                // A server whose last report said that it was draining is queried again once the configuration has it
                // in service.
                Load load = reported.load().draining() ? initialLoad(server).load() : reported.load();
                candidates.add(new Candidate(server.id(), server.domain(), load, ageMs, cachedTokens));
            }
        }
        int blocks = phase == ServerRole.DECODE ? request.blocks : 0;
        return config.policy()
                .rank(new PlacementRequest(phase, request.arrival.promptTokens(), blocks), candidates, random);
    }

    private ReportedLoad initialLoad(Server server) {
        Load load = server.role() == Role.PREFILL
                ? new Load(0, 0, 0, 0, 0, 1, false, false)
                : new Load(config.model().totalBlocks(), config.model().totalBlocks(), 0, 0, 0, 20, false, false);
        return new ReportedLoad(load, clock.nowUs());
    }

    private record ReportedLoad(Load load, long receivedUs) {}
}
