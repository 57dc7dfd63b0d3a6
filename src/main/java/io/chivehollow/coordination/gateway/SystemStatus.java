package io.chivehollow.coordination.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.config.Configuration;
import io.chivehollow.protocol.openai.Json;
import io.chivehollow.protocol.wire.BackendServer;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Pool;
import io.chivehollow.protocol.wire.SidecarStatus;
import io.chivehollow.protocol.wire.SidecarStatusQuery;
import io.chivehollow.protocol.wire.StatusReport;
import io.chivehollow.protocol.wire.Team;
import io.chivehollow.protocol.wire.TeamUse;

/**
 * Queries the state of all replicas and sidecars and describes the whole system.
 *
 * <p>Thread-safe. Replicas and sidecars that do not respond are shown as unreachable. Lists are sorted by id, so that
 * two responses can be compared.
 */
final class SystemStatus {

    private static final int TIMEOUT_MS = 1_000;
    private static final String LEADER = "leader";

    private final GatewayCore core;
    private final Map<String, Optional<StatusReport>> replicas = new ConcurrentHashMap<>();
    private final Map<String, SidecarStatus> sidecars = new ConcurrentHashMap<>();
    private final Map<String, BackendServer> servers = new TreeMap<>();
    private final Optional<Configuration> configuration;

    private SystemStatus(GatewayCore core) {
        this.core = core;
        this.configuration = core.config().current();
        for (Pool pool :
                configuration.map(current -> current.state().getPoolsList()).orElse(List.of())) {
            pool.getServersList().forEach(server -> servers.put(server.getId(), server));
        }
    }

    /** Returns the state of the replicas, the teams and the backend servers. */
    static CompletableFuture<ObjectNode> of(GatewayCore core) {
        SystemStatus status = new SystemStatus(core);
        List<CompletableFuture<?>> queries = status.queryReplicas();
        status.servers.values().forEach(server -> queries.add(status.querySidecar(server)));
        return all(queries).thenApply(done -> status.describe());
    }

    /** Returns the members of the replica group as reported by its leader. */
    static CompletableFuture<ObjectNode> ofReplicas(GatewayCore core) {
        SystemStatus status = new SystemStatus(core);
        return all(status.queryReplicas()).thenApply(done -> {
            ObjectNode root = Json.object();
            status.addLeader(root);
            return root;
        });
    }

    private static CompletableFuture<Void> all(List<CompletableFuture<?>> queries) {
        return CompletableFuture.allOf(queries.toArray(new CompletableFuture<?>[0]));
    }

    private List<CompletableFuture<?>> queryReplicas() {
        List<CompletableFuture<?>> queries = new ArrayList<>();
        for (InetSocketAddress replica : core.settings().replicas()) {
            queries.add(core.control()
                    .status(replica)
                    .handle((report, failure) -> replicas.put(
                            failure == null ? report.getInstance() : HostAndPorts.toText(replica),
                            Optional.ofNullable(failure == null ? report : null))));
        }
        return queries;
    }

    private CompletableFuture<?> querySidecar(BackendServer server) {
        Frame.Builder query = Frame.newBuilder().setSidecarStatusQuery(SidecarStatusQuery.getDefaultInstance());
        return core.connections()
                .call(HostAndPorts.sidecarOf(server), query, TIMEOUT_MS)
                .handle((response, failure) ->
                        failure == null ? sidecars.put(server.getId(), response.getSidecarStatus()) : null);
    }

    /**
     * Returns the report of the leader. A former leader that has not been notified of its successor has a lower term.
     */
    private Optional<StatusReport> leader() {
        return replicas.values().stream()
                .flatMap(Optional::stream)
                .filter(report -> report.getState().equals(LEADER))
                .max(Comparator.comparingLong(StatusReport::getTerm));
    }

    private ObjectNode describe() {
        ObjectNode root = Json.object();
        root.put("instance", core.settings().instance().value());
        root.put("configuration_fresh", core.config().isFresh());
        addLeader(root);
        ArrayNode replicaNodes = root.putArray("replicas");
        new TreeMap<>(replicas).forEach((id, report) -> AdminJson.addReplica(replicaNodes, id, report));
        addTeams(root.putArray("teams"));
        ArrayNode serverNodes = root.putArray("backend_servers");
        servers.values().forEach(server -> addServer(serverNodes, server));
        return root;
    }

    private void addLeader(ObjectNode root) {
        Optional<StatusReport> leader = leader();
        root.put(LEADER, leader.map(StatusReport::getInstance).orElse(""));
        ArrayNode members = root.putArray("members");
        leader.ifPresent(report -> AdminJson.addMembers(members, report));
    }

    private void addTeams(ArrayNode nodes) {
        Map<String, TeamUse> uses = new HashMap<>();
        leader().ifPresent(report -> report.getTeamsList().forEach(use -> uses.put(use.getTeam(), use)));
        Map<String, Integer> queued = new HashMap<>();
        for (SidecarStatus sidecar : sidecars.values()) {
            sidecar.getTeamsList().forEach(use -> queued.merge(use.getTeam(), use.getWaiting(), Integer::sum));
        }
        Map<String, Team> teams = new TreeMap<>();
        configuration.ifPresent(
                current -> current.state().getTeamsList().forEach(team -> teams.put(team.getId(), team)));
        teams.forEach((id, team) ->
                AdminJson.addTeam(nodes, team, Optional.ofNullable(uses.get(id)), queued.getOrDefault(id, 0)));
    }

    private void addServer(ArrayNode nodes, BackendServer server) {
        boolean isOutOfService = configuration
                .map(current -> current.isOutOfService(FailureDomain.of(server.getDomain())))
                .orElse(false);
        boolean isDraining = configuration
                .map(current -> current.isDraining(BackendServerId.of(server.getId())))
                .orElse(false);
        AdminJson.addBackendServer(
                nodes, server, isOutOfService, isDraining, Optional.ofNullable(sidecars.get(server.getId())));
    }
}
