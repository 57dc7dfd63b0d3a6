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

/**
 * Guards against requests that are refused because the servers of the gateway's subset are full, while another backend
 * server of the pool has capacity.
 */
@Test(singleThreaded = true, timeOut = 120_000)
public class SubsetHttpTest {

    private GatewayFixture fixture;

    private void start(GatewaySafeguard... disabledSafeguards) {
        fixture = new GatewayFixture(
                GatewayFixture.Options.defaults().withServerOutsideSubset(), Set.of(disabledSafeguards));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fixture.close();
    }

    private CompletableFuture<HttpResponse<String>> chat() {
        return fixture.sendAsync(fixture.post("/v1/chat/completions", GatewayFixture.chat(false)));
    }

    /** Waits for the next call to any of the servers and returns it. */
    private static FakeSidecar.Call next(List<FakeSidecar> servers, Frame.BodyCase expected) throws Exception {
        while (true) {
            for (FakeSidecar server : servers) {
                if (server.pendingCalls() > 0) {
                    return server.next(expected);
                }
            }
            Thread.onSpinWait();
        }
    }

    /** Refuses the two calls to the subset and returns the call to the third server. */
    private static FakeSidecar.Call afterTwoRefusals(List<FakeSidecar> servers, Frame.BodyCase expected)
            throws Exception {
        Set<String> tried = new HashSet<>();
        for (int i = 0; i < 2; i++) {
            FakeSidecar.Call call = next(servers, expected);
            tried.add(call.name());
            call.refuseWithQueue(60_000);
        }
        FakeSidecar.Call third = next(servers, expected);
        assertTrue(tried.add(third.name()) && tried.size() == 3, tried.toString());
        return third;
    }

    @Test
    public void generationReachesTheServersOutsideTheSubset() throws Exception {
        start();
        CompletableFuture<HttpResponse<String>> response = chat();
        FakeSidecar.Call admit = afterTwoRefusals(fixture.prefill, Frame.BodyCase.ADMIT_PREFILL);
        admit.sendPrefillReady();
        FakeSidecar.Call reserve = afterTwoRefusals(fixture.decode, Frame.BodyCase.RESERVE_DECODE);
        reserve.sendDecodeReserved("r");
        admit.nextFrame(Frame.BodyCase.START_PREFILL);
        admit.sendPrefillDone("h");
        reserve.nextFrame(Frame.BodyCase.START_DECODE);
        reserve.sendTokens(0, "x");
        reserve.sendGenerationDone(1);
        assertEquals(response.get().statusCode(), 200);
    }

    @Test
    public void plainCallReachesTheServersOutsideTheSubset() throws Exception {
        start();
        CompletableFuture<HttpResponse<String>> response =
                fixture.sendAsync(fixture.requestWithKey("/search").GET().build());
        afterTwoRefusals(fixture.plain, Frame.BodyCase.PLAIN_CALL)
                .server
                .finish(Frame.newBuilder()
                        .setPlainResult(PlainResult.newBuilder().setStatus(204)));
        assertEquals(response.get().statusCode(), 204);
    }

    /** Shows the fault: without the fallback the request is refused although the third server was never tried. */
    @Test
    public void withoutSubsetFallbackTheRequestIsRefused() throws Exception {
        start(GatewaySafeguard.SUBSET_FALLBACK);
        CompletableFuture<HttpResponse<String>> response = chat();
        next(fixture.prefill, Frame.BodyCase.ADMIT_PREFILL).refuseWithQueue(60_000);
        next(fixture.prefill, Frame.BodyCase.ADMIT_PREFILL).refuseWithQueue(60_000);
        assertRefusedWithoutFurtherCalls(response, fixture.prefill);
        response = fixture.sendAsync(fixture.requestWithKey("/search").GET().build());
        next(fixture.plain, Frame.BodyCase.PLAIN_CALL).refuse(ErrorCode.OVERLOADED);
        next(fixture.plain, Frame.BodyCase.PLAIN_CALL).refuse(ErrorCode.OVERLOADED);
        assertRefusedWithoutFurtherCalls(response, fixture.plain);
    }

    private static void assertRefusedWithoutFurtherCalls(
            CompletableFuture<HttpResponse<String>> response, List<FakeSidecar> servers)
            throws InterruptedException, ExecutionException {
        assertEquals(response.get().statusCode(), 503);
        assertEquals(servers.stream().mapToInt(FakeSidecar::pendingCalls).sum(), 0);
    }
}
