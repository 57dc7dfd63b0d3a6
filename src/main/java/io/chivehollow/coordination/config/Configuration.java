package io.chivehollow.coordination.config;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.ModelId;
import io.chivehollow.base.TeamId;
import io.chivehollow.protocol.wire.ApiKey;
import io.chivehollow.protocol.wire.BackendServer;
import io.chivehollow.protocol.wire.Domain;
import io.chivehollow.protocol.wire.Model;
import io.chivehollow.protocol.wire.Pool;
import io.chivehollow.protocol.wire.PoolRole;
import io.chivehollow.protocol.wire.ReleasedState;
import io.chivehollow.protocol.wire.Route;
import io.chivehollow.protocol.wire.Team;

/**
 * One version of the released state, with indexes for lookups.
 *
 * <p>Immutable and thread-safe.
 */
public final class Configuration {

    private final ReleasedState state;
    private final ImmutableMap<String, Team> teams;
    private final ImmutableMap<String, ApiKey> keys;
    private final ImmutableMap<String, Route> routes;
    private final ImmutableMap<String, Model> models;
    private final ImmutableMap<String, Pool> pools;
    private final ImmutableListMultimap<ModelRole, Pool> poolsOfModel;
    private final ImmutableMap<String, BackendServer> servers;
    private final ImmutableSet<String> domainsOutOfService;
    private final ImmutableSet<String> draining;

    private Configuration(ReleasedState state) {
        this.state = state;
        this.teams = index(state.getTeamsList(), Team::getId);
        this.keys = index(state.getKeysList(), ApiKey::getId);
        this.routes = index(state.getRoutesList(), Route::getPath);
        this.models = index(state.getModelsList(), Model::getId);
        this.pools = index(state.getPoolsList(), Pool::getId);
        this.domainsOutOfService = state.getDomainsList().stream()
                .filter(Domain::getOut)
                .map(Domain::getId)
                .collect(ImmutableSet.toImmutableSet());
        this.draining = ImmutableSet.copyOf(state.getDrainingList());
        ImmutableListMultimap.Builder<ModelRole, Pool> byModel = ImmutableListMultimap.builder();
        ImmutableMap.Builder<String, BackendServer> byServer = ImmutableMap.builder();
        for (Pool pool : state.getPoolsList()) {
            for (String model : pool.getModelsList()) {
                byModel.put(new ModelRole(model, pool.getRole()), pool);
            }
            for (BackendServer server : pool.getServersList()) {
                byServer.put(server.getId(), server);
            }
        }
        this.poolsOfModel = byModel.build();
        this.servers = byServer.buildKeepingLast();
    }

    /** Returns the indexed form of a released state. */
    public static Configuration of(ReleasedState state) {
        return new Configuration(state);
    }

    /** Returns the version; it increases with every accepted release and every change of an API key. */
    public long version() {
        return state.getVersion();
    }

    /** Returns the number of the last accepted release. */
    public long releaseNumber() {
        return state.getReleaseNumber();
    }

    /** Returns the team with the given id. */
    public Optional<Team> team(TeamId id) {
        return Optional.ofNullable(teams.get(id.value()));
    }

    /** Returns the ids of all teams. */
    public Set<TeamId> teamIds() {
        return teams.keySet().stream().map(TeamId::of).collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the stored record of the API key with the given id; a withdrawn key has none. */
    public Optional<ApiKey> apiKey(String id) {
        return Optional.ofNullable(keys.get(id));
    }

    /**
     * Returns the route whose path is the longest prefix of the given path.
     *
     * <p>A prefix ends at a path segment: {@code /orders} covers {@code /orders/1} but not {@code /orders2}.
     */
    public Optional<Route> route(String path) {
        for (String prefix = path; !prefix.isEmpty(); prefix = withoutLastSegment(prefix)) {
            Route route = routes.get(prefix);
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Removes the final slash, or else the last segment but not the slash before it; both forms are looked up. */
    private static String withoutLastSegment(String path) {
        if (path.endsWith("/")) {
            return path.substring(0, path.length() - 1);
        }
        return path.substring(0, path.lastIndexOf('/') + 1);
    }

    /** Returns the model with the given id. */
    public Optional<Model> model(ModelId id) {
        return Optional.ofNullable(models.get(id.value()));
    }

    /** Returns all models, in the order of their ids. */
    public Collection<Model> models() {
        return models.values();
    }

    /** Returns the pools that serve the model in the given role. */
    public List<Pool> pools(ModelId model, PoolRole role) {
        return poolsOfModel.get(new ModelRole(model.value(), role));
    }

    /** Returns the pool with the given id. */
    public Optional<Pool> pool(String id) {
        return Optional.ofNullable(pools.get(id));
    }

    /** Returns the backend server with the given id. */
    public Optional<BackendServer> server(BackendServerId id) {
        return Optional.ofNullable(servers.get(id.value()));
    }

    /** Returns whether operators have taken the failure domain out of service. */
    public boolean isOut(FailureDomain domain) {
        return domainsOutOfService.contains(domain.value());
    }

    /** Returns whether the backend server is draining. */
    public boolean isDraining(BackendServerId server) {
        return draining.contains(server.value());
    }

    /** Returns the released state that this configuration indexes. */
    public ReleasedState state() {
        return state;
    }

    private static <T> ImmutableMap<String, T> index(List<T> items, Function<T, String> id) {
        Map<String, T> byId = new TreeMap<>();
        for (T item : items) {
            byId.put(id.apply(item), item);
        }
        return ImmutableMap.copyOf(byId);
    }

    private record ModelRole(String model, PoolRole role) {}
}
