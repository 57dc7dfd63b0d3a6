package io.chivehollow.coordination.gateway;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.protocol.wire.Domain;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Load;
import io.chivehollow.protocol.wire.MemberStatus;
import io.chivehollow.protocol.wire.OrderResult;
import io.chivehollow.protocol.wire.SidecarStatus;
import io.chivehollow.protocol.wire.StatusReport;
import io.chivehollow.protocol.wire.Team;
import io.chivehollow.protocol.wire.TeamUse;
import io.chivehollow.state.machine.ControlState;
import io.chivehollow.transport.ServerCallListener;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against operator requests that are served without the operator key, and against changes that are lost or whose
 * response is wrong.
 */
@Test(singleThreaded = true)
public class AdminHttpTest {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private GatewayFixture fixture;
    private ControlState state;

    @BeforeMethod
    public void start() {
        fixture = new GatewayFixture();
        state = fixture.control.useRealState();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fixture.close();
    }

    private HttpResponse<String> send(String method, String path, String body, String key) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(fixture.uri("/admin/v1" + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (!key.isEmpty()) {
            request.header("Authorization", "Bearer " + key);
        }
        return fixture.send(request.build());
    }

    private HttpResponse<String> send(String method, String path, String body) throws Exception {
        return send(method, path, body, GatewayFixture.OPERATOR_KEY);
    }

    private static String note(String id, int number, String team) {
        return "{\"note_id\":\"" + id + "\",\"number\":" + number + ",\"operator\":\"op\",\"added\":{\"teams\":"
                + "[{\"id\":\"" + team + "\",\"rate_tokens_per_second\":10,\"burst_tokens\":100,\"weight\":1}],"
                + "\"domains\":[{\"id\":\"" + team + "-d\",\"out\":false}]}}";
    }

    @DataProvider
    public Object[][] operations() {
        return new Object[][] {
            {"POST", "/releases"},
            {"GET", "/releases"},
            {"GET", "/state"},
            {"GET", "/status"},
            {"POST", "/keys"},
            {"DELETE", "/keys/x"},
            {"POST", "/domains/d1/out"},
            {"POST", "/domains/d1/in"},
            {"POST", "/backend-servers/s/drain"},
            {"POST", "/backend-servers/s/undrain"},
            {"POST", "/backend-servers/s/commands"},
            {"GET", "/replicas"},
            {"POST", "/replicas/r1/admit"},
            {"POST", "/replicas/r1/remove"},
        };
    }

    @Test(dataProvider = "operations")
    public void requestWithoutOperatorKeyIsRefused(String method, String path) throws Exception {
        String note = note("n-1", 1, "t");
        assertEquals(send(method, path, note, "").statusCode(), 401);
        assertEquals(send(method, path, note, "wrong").statusCode(), 401);
        assertEquals(send(method, path, note, fixture.key.text()).statusCode(), 401);
        assertEquals(fixture.control.commands.size() + fixture.control.changes.size(), 0);
    }

    @Test
    public void releasesAreAcceptedOnceAndInOrder() throws Exception {
        assertEquals(send("POST", "/releases", note("n-1", 1, "t1")).statusCode(), 200);
        assertEquals(send("POST", "/releases", note("n-1", 1, "t1")).statusCode(), 200);
        HttpResponse<String> taken = send("POST", "/releases", note("n-2", 1, "t2"));
        assertEquals(taken.statusCode(), 409);
        assertTrue(taken.body().contains("number_taken") && taken.body().contains("n-1"), taken.body());
        HttpResponse<String> invalid = send("POST", "/releases", note("n-3", 2, "t1"));
        assertEquals(invalid.statusCode(), 422);
        assertTrue(invalid.body().contains("added.teams"), invalid.body());
        assertEquals(send("POST", "/releases", "{").statusCode(), 400);
        assertTrue(send("GET", "/releases", "").body().contains("\"note_id\":\"n-1\""));
        assertEquals(state.releasedState().getReleaseNumber(), 1);
    }

    @Test
    public void createdKeyIsShownOnceAndRefusedAfterWithdrawal() throws Exception {
        send("POST", "/releases", note("n-1", 1, "t1"));
        HttpResponse<String> made = send("POST", "/keys", "{\"team\":\"t1\"}");
        assertEquals(made.statusCode(), 200, made.body());
        JsonNode key = MAPPER.readTree(made.body());
        fixture.config.state = state.releasedState();
        HttpRequest models = HttpRequest.newBuilder(fixture.uri("/v1/models"))
                .header("X-Api-Key", key.path("key").asText())
                .build();
        assertEquals(fixture.send(models).statusCode(), 200);
        String shown = send("GET", "/state", "").body();
        assertTrue(shown.contains(key.path("key_id").asText()));
        assertFalse(shown.contains(key.path("key").asText()) || shown.contains("mac"), shown);
        assertEquals(send("DELETE", "/keys/" + key.path("key_id").asText(), "").statusCode(), 200);
        fixture.config.state = state.releasedState();
        assertEquals(fixture.send(models).statusCode(), 401);
    }

    @Test
    public void domainIsTakenOutOfServiceAndBroughtBack() throws Exception {
        send("POST", "/releases", note("n-1", 1, "t1"));
        assertEquals(send("POST", "/domains/t1-d/out", "").statusCode(), 200);
        assertTrue(state.releasedState().getDomains(0).getOut());
        assertEquals(send("POST", "/domains/t1-d/in", "").statusCode(), 200);
        assertFalse(state.releasedState().getDomains(0).getOut());
        assertEquals(send("POST", "/domains/unknown/out", "").statusCode(), 422);
        assertEquals(state.releasedState().getReleaseNumber(), 3);
    }

    @DataProvider
    public Object[][] commandsWithoutNumber() {
        return new Object[][] {
            {"/domains/t1-d/out"}, {"/domains/t1-d/in"}, {"/backend-servers/s/drain"}, {"/backend-servers/s/undrain"}
        };
    }

    /**
     * Guards against a command that takes effect after its operator has given it up, when a later command may have been
     * sent to another gateway.
     */
    @Test(dataProvider = "commandsWithoutNumber")
    public void commandOfADisconnectedOperatorDoesNotTakeEffect(String path) throws Exception {
        send("POST", "/releases", note("n-1", 1, "t1"));
        int commands = fixture.control.commands.size();
        CountDownLatch queried = new CountDownLatch(1);
        CompletableFuture<Void> released = new CompletableFuture<>();
        fixture.control.beforeQuery = () -> {
            queried.countDown();
            return released;
        };
        try (RawClient operator = new RawClient(fixture.gateway.address())) {
            operator.write("POST /admin/v1" + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                    + GatewayFixture.OPERATOR_KEY + "\r\nContent-Length: 0\r\n\r\n");
            assertTrue(queried.await(FakeSidecar.MAX_WAIT_S, TimeUnit.SECONDS));
            // The gateway closes the connection when it has read its end.
            operator.finishOutput().readAll();
        }
        fixture.control.beforeQuery = () -> CompletableFuture.completedFuture(null);
        released.complete(null);
        assertEquals(send("GET", "/releases", "").statusCode(), 200);
        assertEquals(fixture.control.commands.size(), commands);
    }

    @Test
    public void replicasAreListedAndErrorsOfTheLeaderAreReturned() throws Exception {
        fixture.control.report = StatusReport.newBuilder()
                .setInstance("r1")
                .setState("leader")
                .addMembers(MemberStatus.newBuilder().setInstance("r1").setVoter(true))
                .addMembers(MemberStatus.newBuilder().setInstance("r2"))
                .setAdmitted("r3")
                .build();
        JsonNode list = MAPPER.readTree(send("GET", "/replicas", "").body());
        assertEquals(list.path("leader").asText(), "r1");
        assertEquals(list.path("members").findValuesAsText("state"), List.of("voter", "learner", "admitted"));
        HttpResponse<String> admitted = send("POST", "/replicas/r3/admit", "");
        assertEquals(admitted.statusCode(), 200, admitted.body());
        assertFalse(fixture.control.changes.get(0).getRemove());
        fixture.control.changeResponse = change -> CompletableFuture.failedFuture(
                CoordinationException.notRun(ErrorCode.QUORUM_AT_RISK, "Without r2 the group has 1 voter"));
        HttpResponse<String> refused = send("POST", "/replicas/r2/remove", "");
        assertEquals(refused.statusCode(), 409);
        assertTrue(refused.body().contains("quorum_at_risk") && refused.body().contains("Without r2"), refused.body());
        assertTrue(fixture.control.changes.get(1).getRemove());
    }

    /** Guards against commands without a new fencing number, and against a refused command that is reported as done. */
    @Test
    public void commandsToEnginesCarryIncreasingFencingNumbers() throws Exception {
        List<Long> numbers = new CopyOnWriteArrayList<>();
        fixture.decode.get(0).delegateTo((call, first) -> {
            numbers.add(first.getOrder().getFencingNumber());
            OrderResult result = OrderResult.newBuilder()
                    .setAccepted(first.getOrder().getArgument().equals("m"))
                    .setMessage("no such model")
                    .build();
            call.finish(Frame.newBuilder().setOrderResult(result));
            return ServerCallListener.none();
        });
        String path = "/backend-servers/decode-0/commands";
        HttpResponse<String> done = send("POST", path, "{\"kind\": \"load_model\", \"argument\": \"m\"}");
        assertEquals(done.statusCode(), 200, done.body());
        assertEquals(MAPPER.readTree(done.body()).path("state").asText(), "done");
        HttpResponse<String> refused = send("POST", path, "{\"kind\": \"load_model\", \"argument\": \"x\"}");
        assertEquals(refused.statusCode(), 409, refused.body());
        assertTrue(refused.body().contains("no such model"), refused.body());
        assertEquals(numbers, List.of(1L, 2L));
        assertEquals(send("POST", path, "{\"kind\": \"reboot\"}").statusCode(), 400);
        String unknown = "/backend-servers/nowhere/commands";
        String command = "{\"kind\": \"set_role\", \"argument\": \"decode\"}";
        assertEquals(send("POST", unknown, command).statusCode(), 404);
    }

    /** Guards against a status response that omits teams without budget use, or servers that accept no requests. */
    @Test
    public void statusShowsLeaderTeamsAndServers() throws Exception {
        fixture.control.report = StatusReport.newBuilder()
                .setInstance("r1")
                .setState("leader")
                .addTeams(TeamUse.newBuilder()
                        .setTeam("team-a")
                        .setBurstTokens(1_000)
                        .setAvailableTokens(400)
                        .setOutstandingTokens(100)
                        .setWaiting(2))
                .build();
        fixture.config.state = fixture.config.state.toBuilder()
                .addTeams(Team.newBuilder()
                        .setId("team-b")
                        .setRateTokensPerSecond(7)
                        .setBurstTokens(70))
                .addDraining("decode-0")
                .build();
        fixture.prefill.get(0).delegateTo((call, first) -> {
            call.finish(Frame.newBuilder()
                    .setSidecarStatus(SidecarStatus.newBuilder()
                            .setLoad(Load.newBuilder().setCold(true).setQueuedMs(1_200))
                            .addTeams(TeamUse.newBuilder().setTeam("team-a").setWaiting(3))));
            return ServerCallListener.none();
        });
        fixture.prefill.get(1).close();
        JsonNode status = MAPPER.readTree(send("GET", "/status", "").body());
        assertEquals(status.path("leader").asText(), "r1");
        JsonNode teams = status.path("teams");
        assertEquals(teams.findValuesAsText("team"), List.of("team-a", "team-b"));
        assertEquals(teams.path(0).path("used_percent").asInt(), 60);
        assertEquals(teams.path(0).path("queued_requests").asInt(), 3);
        assertEquals(teams.path(0).path("gateways_waiting_for_budget").asInt(), 2);
        assertEquals(teams.path(1).path("rate_tokens_per_second").asInt(), 7);
        Map<String, String> states = new HashMap<>();
        status.path("backend_servers")
                .forEach(server -> states.put(
                        server.path("id").asText(), server.path("state").asText()));
        assertEquals(states.get("prefill-0"), "cold");
        assertEquals(states.get("prefill-1"), "unreachable");
        assertEquals(states.get("decode-0"), "unreachable, draining");
        fixture.config.state = fixture.config.state.toBuilder()
                .setDomains(0, Domain.newBuilder().setId("d1").setOut(true))
                .build();
        String out = send("GET", "/status", "").body();
        assertTrue(out.contains("\"state\":\"out, cold\""), out);
    }

    @Test
    public void wrongMethodIsRefused() throws Exception {
        assertEquals(send("PUT", "/releases", "{}").statusCode(), 405);
        assertEquals(send("GET", "/nothing", "").statusCode(), 405);
    }
}
