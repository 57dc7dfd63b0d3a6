package io.chivehollow.coordination.gateway;

import java.net.http.HttpResponse;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.PlainResult;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against requests that are refused because the subset is full while the pool has a free backend server. */
@Test(singleThreaded = true, timeOut = 120_000)
public class SubsetHttpTest {

    private GatewayFixture fixture;

    private void start(GatewaySafeguard... disabled) {
        fixture = new GatewayFixture(GatewayFixture.Options.usual().withServerOutsideSubset(), Set.of(disabled));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fixture.close();
    }

    private CompletableFuture<HttpResponse<String>> chat() {
        return fixture.sendAsync(fixture.post("/v1/chat/completions", GatewayFixture.chat(false)));
    }

    /** Takes the next call, whichever of the servers gets it. */
    private static FakeSidecar.Call next(List<FakeSidecar> servers, Frame.BodyCase expected) throws Exception {
        while (true) {
            for (FakeSidecar server : servers) {
                if (server.waitingCalls() > 0) {
                    return server.next(expected);
                }
            }
            Thread.onSpinWait();
        }
    }

    /** Refuses the two calls to the subset and returns the call to the third server. */
    private static FakeSidecar.Call afterTwoRefusals(List<FakeSidecar> servers, Frame.BodyCase expected)
            throws Exception {
        Set<String> asked = new HashSet<>();
        for (int i = 0; i < 2; i++) {
            FakeSidecar.Call call = next(servers, expected);
            asked.add(call.name());
            call.refuseWithQueue(60_000);
        }
        FakeSidecar.Call third = next(servers, expected);
        assertTrue(asked.add(third.name()) && asked.size() == 3, asked.toString());
        return third;
    }

    @Test
    public void generationReachesTheServersOutsideTheSubset() throws Exception {
        start();
        CompletableFuture<HttpResponse<String>> answer = chat();
        FakeSidecar.Call admit = afterTwoRefusals(fixture.prefill, Frame.BodyCase.ADMIT_PREFILL);
        admit.ready();
        FakeSidecar.Call reserve = afterTwoRefusals(fixture.decode, Frame.BodyCase.RESERVE_DECODE);
        reserve.reserved("r");
        admit.nextFrame(Frame.BodyCase.START_PREFILL);
        admit.prefilled("h");
        reserve.nextFrame(Frame.BodyCase.START_DECODE);
        reserve.tokens(0, "x");
        reserve.done(1);
        assertEquals(answer.get().statusCode(), 200);
    }

    @Test
    public void plainCallReachesTheServersOutsideTheSubset() throws Exception {
        start();
        CompletableFuture<HttpResponse<String>> answer =
                fixture.sendAsync(fixture.keyed("/search").GET().build());
        afterTwoRefusals(fixture.plain, Frame.BodyCase.PLAIN_CALL)
                .server
                .finish(Frame.newBuilder()
                        .setPlainResult(PlainResult.newBuilder().setStatus(204)));
        assertEquals(answer.get().statusCode(), 204);
    }

    /** Shows the failure: with the subset alone the request is refused although the third server is never asked. */
    @Test
    public void subsetAloneRefuses() throws Exception {
        start(GatewaySafeguard.SUBSET_FALLBACK);
        CompletableFuture<HttpResponse<String>> answer = chat();
        next(fixture.prefill, Frame.BodyCase.ADMIT_PREFILL).refuseWithQueue(60_000);
        next(fixture.prefill, Frame.BodyCase.ADMIT_PREFILL).refuseWithQueue(60_000);
        assertRefusedWithoutAsking(answer, fixture.prefill);
        answer = fixture.sendAsync(fixture.keyed("/search").GET().build());
        next(fixture.plain, Frame.BodyCase.PLAIN_CALL).refuse(ErrorCode.OVERLOADED);
        next(fixture.plain, Frame.BodyCase.PLAIN_CALL).refuse(ErrorCode.OVERLOADED);
        assertRefusedWithoutAsking(answer, fixture.plain);
    }

    private static void assertRefusedWithoutAsking(
            CompletableFuture<HttpResponse<String>> answer, List<FakeSidecar> servers)
            throws InterruptedException, ExecutionException {
        assertEquals(answer.get().statusCode(), 503);
        assertEquals(servers.stream().mapToInt(FakeSidecar::waitingCalls).sum(), 0);
    }
}
