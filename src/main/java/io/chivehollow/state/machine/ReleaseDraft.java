package io.chivehollow.state.machine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import io.chivehollow.protocol.wire.BackendServer;
import io.chivehollow.protocol.wire.Domain;
import io.chivehollow.protocol.wire.Model;
import io.chivehollow.protocol.wire.Pool;
import io.chivehollow.protocol.wire.PoolRole;
import io.chivehollow.protocol.wire.ReleasedState;
import io.chivehollow.protocol.wire.Route;
import io.chivehollow.protocol.wire.Team;

/**
 * The released state as it would be after a release note.
 *
 * <p>Not thread-safe. The draft may be used only if neither {@link #apply} nor {@link #checkReferences} adds a fault.
 */
final class ReleaseDraft {

    private final ConfigSection<Team> teams;
    private final ConfigSection<Route> routes;
    private final ConfigSection<Domain> domains;
    private final ConfigSection<Pool> pools;
    private final ConfigSection<Model> models;
    private final ConfigSection<String> draining;

    ReleaseDraft(ReleasedState state) {
        this.teams = new ConfigSection<>("teams", state.getTeamsList(), Team::getId);
        this.routes = new ConfigSection<>("routes", state.getRoutesList(), Route::getPath);
        this.domains = new ConfigSection<>("domains", state.getDomainsList(), Domain::getId);
        this.pools = new ConfigSection<>("pools", state.getPoolsList(), Pool::getId);
        this.models = new ConfigSection<>("models", state.getModelsList(), Model::getId);
        this.draining = new ConfigSection<>("draining", state.getDrainingList(), Function.identity());
    }

    void apply(ReleaseNote note, List<String> faults) {
        ReleaseNote.ConfigItems added = note.added();
        ReleaseNote.ConfigItems changed = note.changed();
        ReleaseNote.WithdrawnIds withdrawn = note.withdrawn();
        teams.apply(added.teams(), changed.teams(), withdrawn.teams(), faults);
        routes.apply(added.routes(), changed.routes(), withdrawn.routes(), faults);
        domains.apply(added.domains(), changed.domains(), withdrawn.domains(), faults);
        pools.apply(added.pools(), changed.pools(), withdrawn.pools(), faults);
        models.apply(added.models(), changed.models(), withdrawn.models(), faults);
        draining.apply(added.draining(), changed.draining(), withdrawn.draining(), faults);
        for (String server : added.draining()) {
            if (!serverIds().contains(server)) {
                faults.add("added.draining: \"" + server + "\": there is no such backend server");
            }
        }
    }

    /** Checks the references between the items and removes withdrawn backend servers from the draining list. */
    void checkReferences(List<String> faults) {
        for (Route route : routes.items()) {
            checkRoute(route, faults);
        }
        Map<String, String> poolOfServer = new HashMap<>();
        Map<String, String> serverOfAddress = new HashMap<>();
        for (Pool pool : pools.items()) {
            checkModels(pool, faults);
            for (BackendServer server : pool.getServersList()) {
                String path = "pools \"" + pool.getId() + "\".servers \"" + server.getId() + "\"";
                if (!domains.contains(server.getDomain())) {
                    faults.add(path + ".domain: \"" + server.getDomain() + "\": there is no such failure domain");
                }
                String otherPool = poolOfServer.put(server.getId(), pool.getId());
                if (otherPool != null) {
                    faults.add(path + ".id: pool \"" + otherPool + "\" has a backend server with this id already");
                }
                String otherServer = serverOfAddress.put(server.getSidecarAddress(), server.getId());
                if (otherServer != null) {
                    faults.add(path + ".sidecar_address: \"" + server.getSidecarAddress() + "\": backend server \""
                            + otherServer + "\" has this address already");
                }
            }
        }
        draining.retainAll(poolOfServer.keySet());
    }

    private void checkRoute(Route route, List<String> faults) {
        String path = "routes \"" + route.getPath() + "\"";
        if (!pools.contains(route.getPool())) {
            faults.add(path + ".pool: \"" + route.getPool() + "\": there is no such pool");
        }
        for (Pool pool : pools.items()) {
            if (pool.getId().equals(route.getPool()) && pool.getRole() != PoolRole.PLAIN) {
                faults.add(path + ".pool: \"" + route.getPool() + "\": expected a pool with the role plain");
            }
        }
        if (route.getOpen() && !route.getIdempotent()) {
            faults.add(path + ".open: a route that is not idempotent must not be open, because its idempotency"
                    + " records belong to a team");
        }
    }

    private void checkModels(Pool pool, List<String> faults) {
        String path = "pools \"" + pool.getId() + "\".models";
        Set<String> seen = new HashSet<>();
        for (String model : pool.getModelsList()) {
            if (!models.contains(model)) {
                faults.add(path + ": \"" + model + "\": there is no such model");
            }
            if (!seen.add(model)) {
                faults.add(path + ": \"" + model + "\": named more than once");
            }
        }
        boolean needsModels = pool.getRole() != PoolRole.PLAIN;
        if (needsModels == pool.getModelsList().isEmpty()) {
            faults.add(path + (needsModels ? ": empty: expected at least one model" : ": a plain pool has no models"));
        }
    }

    private Set<String> serverIds() {
        Set<String> ids = new HashSet<>();
        for (Pool pool : pools.items()) {
            pool.getServersList().forEach(server -> ids.add(server.getId()));
        }
        return ids;
    }

    Set<String> teamIds() {
        return teams.ids();
    }

    /** Replaces the items of the released state by those of the draft; version, number and keys stay as they are. */
    void copyTo(ReleasedState.Builder state) {
        state.clearTeams().addAllTeams(teams.items());
        state.clearRoutes().addAllRoutes(routes.items());
        state.clearDomains().addAllDomains(domains.items());
        state.clearPools().addAllPools(pools.items());
        state.clearModels().addAllModels(models.items());
        state.clearDraining().addAllDraining(draining.items());
    }
}
