package io.chivehollow.coordination.forwarding.route;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;

import io.chivehollow.protocol.wire.Deployment;
import io.chivehollow.protocol.wire.ForwardLimits;
import io.chivehollow.protocol.wire.ForwardRoute;
import io.chivehollow.protocol.wire.ForwardService;
import io.chivehollow.protocol.wire.TeamAccess;
import io.chivehollow.protocol.wire.WeightedService;

/**
 * Looks up the routes, services and teams of one deployment.
 *
 * <p>Immutable and thread-safe.
 */
public final class RouteTable {

    private final Map<String, Map<String, ForwardRoute>> byHost = new HashMap<>();
    private final Map<String, ForwardService> services = new HashMap<>();
    private final Map<String, TeamAccess> teamByKey = new HashMap<>();
    private final Map<String, NavigableSet<Integer>> priorities = new HashMap<>();
    private final boolean requiresApiKeys;
    private final ForwardLimits limits;
    private final long revision;
    private final int shortestTargetMs;

    private RouteTable(Deployment deployment) {
        for (ForwardRoute route : deployment.getRoutesList()) {
            byHost.computeIfAbsent(route.getHost().toLowerCase(Locale.ROOT), host -> new HashMap<>())
                    .put(route.getPathPrefix(), route);
        }
        for (ForwardService service : deployment.getServicesList()) {
            services.put(service.getId(), service);
        }
        for (TeamAccess team : deployment.getTeamsList()) {
            team.getApiKeysList().forEach(key -> teamByKey.put(key, team));
        }
        // Deployments stored by earlier versions do not have the field.
        this.requiresApiKeys = deployment.getRequiresApiKeys() || deployment.getTeamsCount() > 0;
        this.limits = deployment.getLimits();
        this.revision = deployment.getRevision();
        this.shortestTargetMs = deployment.getRoutesList().stream()
                .mapToInt(ForwardRoute::getTargetMs)
                .filter(targetMs -> targetMs > 0)
                .min()
                .orElse(0);
        for (ForwardRoute route : deployment.getRoutesList()) {
            addPriorities(route, deployment.getTeamsList());
        }
    }

    private void addPriorities(ForwardRoute route, List<TeamAccess> teams) {
        for (WeightedService target : route.getTargetsList()) {
            NavigableSet<Integer> found = priorities.computeIfAbsent(target.getService(), service -> new TreeSet<>());
            if (route.getOpen() || !requiresApiKeys) {
                found.add(route.getPriority());
            } else {
                teams.forEach(team -> found.add(priority(route, team)));
            }
        }
    }

    /** Returns the table of a deployment. */
    public static RouteTable of(Deployment deployment) {
        return new RouteTable(deployment);
    }

    /** Returns the route of the host with the longest path prefix that matches the path. */
    public Optional<ForwardRoute> route(String host, String path) {
        int port = host.lastIndexOf(':');
        String name = (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
        Map<String, ForwardRoute> routes = byHost.get(name);
        if (routes == null) {
            return Optional.empty();
        }
        // Prefixes end with a slash, so only prefixes of the path that end with a slash are looked up.
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            ForwardRoute route = routes.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
            if (end == 0) {
                break;
            }
        }
        return Optional.empty();
    }

    /** Returns the team to which the API key belongs. */
    public Optional<TeamAccess> team(String apiKey) {
        return Optional.ofNullable(teamByKey.get(apiKey));
    }

    /** Returns the priority of the team's requests on the route; 0 is the most urgent. */
    public static int priority(ForwardRoute route, TeamAccess team) {
        return team.getHasPriority() ? team.getPriority() : route.getPriority();
    }

    /** Returns whether the requests for the service may have different priorities. */
    public boolean hasPriorities(String service) {
        return priorities(service).size() > 1;
    }

    /** Returns the number of priorities of the service's requests that are more urgent than the given one. */
    public int priorityRank(String service, int priority) {
        return priorities(service).headSet(priority).size();
    }

    private NavigableSet<Integer> priorities(String service) {
        return priorities.getOrDefault(service, Collections.emptyNavigableSet());
    }

    /** Returns the service with the id. */
    public Optional<ForwardService> service(String id) {
        return Optional.ofNullable(services.get(id));
    }

    /** Returns the shortest target time in milliseconds of a route that may select the service, 0 if there is none. */
    public long shortestTargetMs(String service) {
        return byHost.values().stream()
                .flatMap(routes -> routes.values().stream())
                .filter(route -> route.getTargetsList().stream()
                        .anyMatch(target -> target.getService().equals(service)))
                .mapToLong(ForwardRoute::getTargetMs)
                .min()
                .orElse(0);
    }

    /**
     * Returns whether routes that are not open require an API key. If no team has a key, they match no caller.
     */
    public boolean requiresApiKeys() {
        return requiresApiKeys;
    }

    /** Returns the limits of callers' requests. */
    public ForwardLimits limits() {
        return limits;
    }

    /** Returns the shortest target time of the routes in milliseconds, 0 if none is stated. */
    public int shortestTargetMs() {
        return shortestTargetMs;
    }

    /** Returns the revision that the operator gave to the deployment. */
    public long revision() {
        return revision;
    }

    /** Returns the service that the selector, from 0 inclusive to 1 exclusive, selects by weight. */
    public static String selectService(ForwardRoute route, double selector) {
        List<WeightedService> targets = route.getTargetsList();
        long total = targets.stream().mapToLong(WeightedService::getWeight).sum();
        double position = selector * total;
        for (WeightedService target : targets) {
            position -= target.getWeight();
            if (position < 0) {
                return target.getService();
            }
        }
        return targets.get(targets.size() - 1).getService();
    }
}
