package io.chivehollow.coordination.forwarding.route;

import io.chivehollow.protocol.wire.Deployment;
import io.chivehollow.protocol.wire.ForwardRoute;
import io.chivehollow.protocol.wire.TeamAccess;
import io.chivehollow.protocol.wire.WeightedService;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against requests that match the wrong route or are accounted to the wrong team. */
public class RouteTableTest {

    private static final RouteTable TABLE = RouteTable.of(Deployment.newBuilder()
            .addRoutes(route("root", "Shop.example", "/"))
            .addRoutes(route("orders", "shop.example", "/orders/"))
            .addRoutes(route("archive", "shop.example", "/orders/archive/"))
            .addRoutes(route("other", "other.example", "/orders/"))
            .addTeams(TeamAccess.newBuilder().setTeam("red").addApiKeys("k1").addApiKeys("k2"))
            .build());

    private static ForwardRoute route(String id, String host, String prefix) {
        return ForwardRoute.newBuilder()
                .setId(id)
                .setHost(host)
                .setPathPrefix(prefix)
                .build();
    }

    private static String match(String host, String path) {
        return TABLE.route(host, path).map(ForwardRoute::getId).orElse("none");
    }

    @Test
    public void longestPathPrefixOfTheHostIsSelected() {
        assertEquals(match("shop.example", "/orders/archive/7"), "archive");
        assertEquals(match("shop.example", "/orders/archive"), "orders");
        assertEquals(match("shop.example", "/orders/7"), "orders");
        assertEquals(match("shop.example", "/orders"), "root");
        assertEquals(match("other.example", "/orders/7"), "other");
        assertEquals(match("other.example", "/"), "none");
        assertEquals(match("third.example", "/orders/7"), "none");
    }

    @Test
    public void hostIsComparedWithoutCaseAndPort() {
        assertEquals(match("SHOP.example:8080", "/orders/7"), "orders");
    }

    /** A service must not wait for as long as its slowest route allows. */
    @Test
    public void shortestTargetOfTheRoutesOfAServiceCounts() {
        RouteTable table = RouteTable.of(Deployment.newBuilder()
                .addRoutes(target(route("slow", "a.example", "/slow/"), "s", 2_000))
                .addRoutes(target(route("fast", "b.example", "/fast/"), "s", 800))
                .addRoutes(target(route("other", "b.example", "/other/"), "t", 100))
                .build());
        assertEquals(table.shortestTargetMs("s"), 800);
        assertEquals(table.shortestTargetMs("unknown"), 0);
    }

    private static ForwardRoute target(ForwardRoute route, String service, int targetMs) {
        return route.toBuilder()
                .setTargetMs(targetMs)
                .addTargets(WeightedService.newBuilder().setService(service).setWeight(1))
                .build();
    }

    @Test
    public void keyBelongsToOneTeam() {
        assertEquals(TABLE.team("k2").map(TeamAccess::getTeam).orElse(""), "red");
        assertTrue(TABLE.team("k3").isEmpty());
    }

    @Test
    public void rankCountsTheMoreUrgentPrioritiesOfTheService() {
        RouteTable table = RouteTable.of(Deployment.newBuilder()
                .addRoutes(route("a", "h", "/a/").toBuilder().setPriority(0).addTargets(target("model")))
                .addRoutes(route("b", "h", "/b/").toBuilder().setPriority(5).addTargets(target("model")))
                .addRoutes(route("c", "h", "/c/").toBuilder().setPriority(2).addTargets(target("plain")))
                .build());
        assertTrue(table.hasPriorities("model"));
        assertEquals(table.priorityRank("model", 5), 1);
        assertFalse(table.hasPriorities("plain"));
    }

    private static WeightedService target(String service) {
        return WeightedService.newBuilder().setService(service).setWeight(1).build();
    }

    @Test
    public void weightsDetermineTheSelectedService() {
        ForwardRoute split = ForwardRoute.newBuilder()
                .addTargets(WeightedService.newBuilder().setService("a").setWeight(90))
                .addTargets(WeightedService.newBuilder().setService("none").setWeight(0))
                .addTargets(WeightedService.newBuilder().setService("b").setWeight(10))
                .build();
        assertEquals(RouteTable.selectService(split, 0), "a");
        assertEquals(RouteTable.selectService(split, 0.899), "a");
        assertEquals(RouteTable.selectService(split, 0.901), "b");
        assertEquals(RouteTable.selectService(split, 0.999), "b");
    }
}
