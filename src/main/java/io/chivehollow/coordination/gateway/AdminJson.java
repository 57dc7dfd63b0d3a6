package io.chivehollow.coordination.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.chivehollow.protocol.openai.Json;
import io.chivehollow.protocol.wire.AcceptedRelease;
import io.chivehollow.protocol.wire.BackendServer;
import io.chivehollow.protocol.wire.Load;
import io.chivehollow.protocol.wire.MemberStatus;
import io.chivehollow.protocol.wire.Pool;
import io.chivehollow.protocol.wire.ReleasedState;
import io.chivehollow.protocol.wire.Route;
import io.chivehollow.protocol.wire.SidecarStatus;
import io.chivehollow.protocol.wire.StatusReport;
import io.chivehollow.protocol.wire.Team;
import io.chivehollow.protocol.wire.TeamUse;

/**
 * Builds the JSON responses for operators.
 *
 * <p>Stateless and thread-safe. Hashes of API keys are never included.
 */
final class AdminJson {

    private static final String UNREACHABLE = "unreachable";

    private AdminJson() {}

    static ObjectNode state(ReleasedState state) {
        ObjectNode root = Json.object();
        root.put("release_number", state.getReleaseNumber()).put("version", state.getVersion());
        ArrayNode teams = root.putArray("teams");
        state.getTeamsList().forEach(team -> teams.addObject()
                .put("id", team.getId())
                .put("rate_tokens_per_second", team.getRateTokensPerSecond())
                .put("burst_tokens", team.getBurstTokens())
                .put("weight", team.getWeight())
                .put("release", team.getReleaseNumber()));
        ArrayNode routes = root.putArray("routes");
        state.getRoutesList().forEach(route -> addRoute(routes, route));
        ArrayNode domains = root.putArray("domains");
        state.getDomainsList().forEach(domain -> domains.addObject()
                .put("id", domain.getId())
                .put("out", domain.getOut())
                .put("release", domain.getReleaseNumber()));
        ArrayNode pools = root.putArray("pools");
        state.getPoolsList().forEach(pool -> addPool(pools, pool));
        ArrayNode models = root.putArray("models");
        state.getModelsList().forEach(model -> models.addObject()
                .put("id", model.getId())
                .put("context_tokens", model.getContextTokens())
                .put("default_output_tokens", model.getDefaultOutputTokens())
                .put("kv_bytes_per_token", model.getKvBytesPerToken())
                .put("direct_prompt_tokens", model.getDirectPromptTokens())
                .put("first_token_target_ms", model.getFirstTokenTargetMs())
                .put("release", model.getReleaseNumber()));
        ArrayNode keys = root.putArray("keys");
        state.getKeysList()
                .forEach(key -> keys.addObject().put("id", key.getId()).put("team", key.getTeam()));
        ArrayNode draining = root.putArray("draining");
        state.getDrainingList().forEach(draining::add);
        return root;
    }

    private static void addRoute(ArrayNode routes, Route route) {
        routes.addObject()
                .put("path", route.getPath())
                .put("pool", route.getPool())
                .put("open", route.getOpen())
                .put("idempotent", route.getIdempotent())
                .put("release", route.getReleaseNumber());
    }

    private static void addPool(ArrayNode pools, Pool pool) {
        ObjectNode node = pools.addObject()
                .put("id", pool.getId())
                .put("role", pool.getRole().name().toLowerCase(Locale.ROOT))
                .put("release", pool.getReleaseNumber());
        ArrayNode models = node.putArray("models");
        pool.getModelsList().forEach(models::add);
        ArrayNode servers = node.putArray("servers");
        for (BackendServer server : pool.getServersList()) {
            servers.addObject()
                    .put("id", server.getId())
                    .put("domain", server.getDomain())
                    .put("sidecar_address", server.getSidecarAddress());
        }
    }

    static ObjectNode releases(List<AcceptedRelease> releases) {
        ObjectNode root = Json.object();
        ArrayNode nodes = root.putArray("releases");
        for (AcceptedRelease release : releases) {
            ObjectNode node = nodes.addObject()
                    .put("number", release.getNumber())
                    .put("note_id", release.getNoteId())
                    .put("operator", release.getOperator())
                    .put("time", Instant.ofEpochMilli(release.getTimeMs()).toString());
            node.set("note", Json.parseObject(release.getNote().toStringUtf8().getBytes(StandardCharsets.UTF_8)));
        }
        return root;
    }

    /** Adds a replica; one without a report is shown as unreachable. */
    static void addReplica(ArrayNode nodes, String id, Optional<StatusReport> reply) {
        ObjectNode node = nodes.addObject().put("instance", id);
        if (reply.isEmpty()) {
            node.put("state", UNREACHABLE);
            return;
        }
        StatusReport report = reply.get();
        node.put("state", report.getState())
                .put("term", report.getTerm())
                .put("commit_index", report.getCommitIndex())
                .put("applied_index", report.getAppliedIndex())
                .put("config_version", report.getConfigVersion());
    }

    /** Adds the members that a leader reports; the state of each is voter, learner or admitted. */
    static void addMembers(ArrayNode nodes, StatusReport report) {
        for (MemberStatus member : report.getMembersList()) {
            nodes.addObject()
                    .put("instance", member.getInstance())
                    .put("state", member.getVoter() ? "voter" : "learner")
                    .put("voter", member.getVoter())
                    .put("match_index", member.getMatchIndex())
                    .put("silent_ms", member.getSilentMs());
        }
        if (!report.getAdmitted().isEmpty()) {
            nodes.addObject()
                    .put("instance", report.getAdmitted())
                    .put("state", "admitted")
                    .put("voter", false);
        }
    }

    /**
     * Adds a team.
     *
     * @param reportedUse use of the team's budget; empty while there is no leader and for a team that never borrowed
     */
    static void addTeam(ArrayNode nodes, Team team, Optional<TeamUse> reportedUse, int queued) {
        ObjectNode node = nodes.addObject()
                .put("team", team.getId())
                .put("rate_tokens_per_second", team.getRateTokensPerSecond())
                .put("burst_tokens", team.getBurstTokens());
        reportedUse.ifPresent(use -> node.put("available_tokens", use.getAvailableTokens())
                .put("lent_tokens", use.getOutstandingTokens())
                .put("used_percent", usedPercent(use))
                .put("gateways_waiting_for_budget", use.getWaiting()));
        node.put("queued_requests", queued);
    }

    /** Returns the percentage of the burst that is currently not available. */
    private static long usedPercent(TeamUse use) {
        double used = use.getBurstTokens() - (double) use.getAvailableTokens();
        return Math.round(100 * Math.max(0, used) / Math.max(1, use.getBurstTokens()));
    }

    /** Adds a backend server; one without a report of its sidecar is shown as unreachable. */
    static void addBackendServer(
            ArrayNode nodes,
            BackendServer server,
            boolean isOutOfService,
            boolean isDraining,
            Optional<SidecarStatus> reply) {
        Load load = reply.map(SidecarStatus::getLoad).orElse(Load.getDefaultInstance());
        List<String> states = new ArrayList<>();
        addIf(states, reply.isEmpty(), UNREACHABLE);
        addIf(states, isOutOfService, "out");
        addIf(states, isDraining, "draining");
        addIf(states, load.getDraining() && !isOutOfService && !isDraining, "leaving");
        addIf(states, load.getCold(), "cold");
        ObjectNode node = nodes.addObject()
                .put("id", server.getId())
                .put("domain", server.getDomain())
                .put("state", states.isEmpty() ? "in service" : String.join(", ", states))
                .put("reachable", reply.isPresent())
                .put("out", isOutOfService)
                .put("draining", isDraining);
        reply.ifPresent(report -> node.put("cold", load.getCold())
                .put("running", load.getRunning())
                .put("queued", load.getQueued())
                .put("queued_ms", load.getQueuedMs())
                .put("ramp_limit", load.getRampLimit())
                .put("free_blocks", load.getFreeBlocks())
                .put("total_blocks", load.getTotalBlocks())
                .put("waiting", queuedRequestsByTeam(report)));
    }

    private static void addIf(List<String> states, boolean condition, String state) {
        if (condition) {
            states.add(state);
        }
    }

    private static String queuedRequestsByTeam(SidecarStatus report) {
        return report.getTeamsList().stream()
                .filter(use -> use.getWaiting() > 0)
                .map(use -> use.getTeam() + "=" + use.getWaiting())
                .collect(Collectors.joining(" "));
    }
}
