package io.chivehollow.coordination.gateway;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import com.google.protobuf.ByteString;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.protocol.wire.CallOutcome;
import io.chivehollow.protocol.wire.CallRecord;
import io.chivehollow.protocol.wire.CallResult;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Header;
import io.chivehollow.protocol.wire.PlainCall;
import io.chivehollow.protocol.wire.PlainResult;
import io.chivehollow.state.machine.IdempotencyKey;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against plain calls that leak credentials, run twice, or report a wrong outcome. */
@Test(singleThreaded = true, timeOut = 120_000)
public class PlainHttpTest {

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() {
        fixture = new GatewayFixture();
        fixture.control.useRealState();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fixture.close();
    }

    private static String newKey() {
        return IdempotencyKey.create(System.currentTimeMillis(), new Random()).text();
    }

    private HttpRequest order(String idempotencyKey, String body) {
        return fixture.requestWithKey("/orders/7?x=%20y")
                .header("Idempotency-Key", idempotencyKey)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private static Frame.Builder result(int status, String body) {
        return Frame.newBuilder()
                .setPlainResult(PlainResult.newBuilder()
                        .setStatus(status)
                        .addHeaders(Header.newBuilder().setName("X-Service").setValue("s"))
                        .addHeaders(Header.newBuilder().setName("Connection").setValue("close"))
                        .setBody(ByteString.copyFromUtf8(body)));
    }

    /**
     * Guards against a path, query, header or body that is lost, and against credentials sent to the backend server.
     */
    @Test
    public void callIsForwardedWithoutCredentials() throws Exception {
        HttpRequest request = fixture.requestWithKey("/search/a%20b?q=%26")
                .header("X-Api-Key", fixture.key.text())
                .header("Cookie", "session=cookie-secret")
                .header("TE", "trailers")
                .header("X-Custom", "c")
                .PUT(HttpRequest.BodyPublishers.ofString("body"))
                .build();
        CompletableFuture<HttpResponse<String>> pendingResponse = fixture.sendAsync(request);
        FakeSidecar.Call call = fixture.plain.get(0).next(Frame.BodyCase.PLAIN_CALL);
        PlainCall sent = call.firstFrame.getPlainCall();
        assertEquals(sent.getMethod(), "PUT");
        assertEquals(sent.getPath(), "/search/a%20b?q=%26");
        assertEquals(sent.getBody().toStringUtf8(), "body");
        assertEquals(sent.getTeam(), "team-a");
        assertEquals(sent.getKeyId(), fixture.key.id());
        List<String> names = sent.getHeadersList().stream()
                .map(header -> header.getName().toLowerCase(java.util.Locale.ROOT))
                .toList();
        assertTrue(names.contains("x-custom"), names.toString());
        for (String removed : List.of("authorization", "x-api-key", "cookie", "te", "connection", "host")) {
            assertFalse(names.contains(removed), names.toString());
        }
        String text = fixture.plain.get(0).receivedText();
        assertFalse(text.contains(fixture.key.text()) || text.contains("cookie-secret"));
        call.server.finish(result(201, "made"));
        HttpResponse<String> response = pendingResponse.get();
        assertEquals(response.statusCode(), 201);
        assertEquals(response.body(), "made");
        assertEquals(response.headers().firstValue("X-Service").orElse(""), "s");
    }

    /** Guards against a retry that runs the call again, and against wrong responses to retries. */
    @Test
    public void retryReceivesTheFirstResponse() throws Exception {
        String key = newKey();
        CompletableFuture<HttpResponse<String>> first = fixture.sendAsync(order(key, "order"));
        FakeSidecar.Call call = fixture.plain.get(0).next(Frame.BodyCase.PLAIN_CALL);
        assertEquals(call.firstFrame.getPlainCall().getAttempt(), 1);
        assertTrue(call.firstFrame.getPlainCall().getRecordIndex() > 0);
        HttpResponse<String> open = fixture.send(order(key, "order"));
        assertEquals(open.statusCode(), 409);
        assertTrue(open.body().contains("call_in_progress"), open.body());
        call.server.finish(result(200, "done"));
        assertEquals(first.get().body(), "done");
        HttpResponse<String> retry = fixture.send(order(key, "order"));
        assertEquals(retry.statusCode(), 200);
        assertEquals(retry.body(), "done");
        HttpResponse<String> other = fixture.send(order(key, "another"));
        assertEquals(other.statusCode(), 422);
        assertTrue(other.body().contains("idempotency_key_reused"), other.body());
        assertEquals(fixture.plain.get(0).pendingCalls() + fixture.plain.get(1).pendingCalls(), 0);
    }

    /** Guards against a retry of a non-idempotent call that may have run, and against "not run" in its error. */
    @Test
    public void failedCallThatMayHaveRunIsNotRetried() throws Exception {
        String key = newKey();
        CompletableFuture<HttpResponse<String>> first = fixture.sendAsync(order(key, "order"));
        FakeSidecar.Call call = fixture.plain.get(0).next(Frame.BodyCase.PLAIN_CALL);
        call.fail(ErrorCode.BACKEND_FAILED);
        assertEquals(first.get().statusCode(), 409);
        assertTrue(first.get().body().contains("outcome_unknown"), first.get().body());
        assertTrue(first.get().body().contains("\"not_run\":false"));
        assertTrue(fixture.send(order(key, "order")).body().contains("outcome_unknown"));
        assertEquals(fixture.plain.get(1).pendingCalls(), 0);
    }

    /** Guards against a refused call that cannot be started again with the same idempotency key. */
    @Test
    public void refusedCallCanBeStartedAgain() throws Exception {
        String key = newKey();
        CompletableFuture<HttpResponse<String>> first = fixture.sendAsync(order(key, "order"));
        fixture.plain.get(0).next(Frame.BodyCase.PLAIN_CALL).refuse(ErrorCode.OVERLOADED);
        fixture.plain.get(1).next(Frame.BodyCase.PLAIN_CALL).refuse(ErrorCode.OVERLOADED);
        assertEquals(first.get().statusCode(), 503);
        assertTrue(first.get().body().contains("\"not_run\":true"), first.get().body());
        CompletableFuture<HttpResponse<String>> second = fixture.sendAsync(order(key, "order"));
        FakeSidecar.Call again = fixture.plain.get(0).next(Frame.BodyCase.PLAIN_CALL);
        assertEquals(again.firstFrame.getPlainCall().getAttempt(), 2);
        again.server.finish(result(200, "done"));
        assertEquals(second.get().statusCode(), 200);
    }

    /** Guards against a call that is sent although its record was not committed. */
    @Test
    public void callWithoutCommittedRecordIsNotSent() throws Exception {
        fixture.control.commandResponse = command -> CompletableFuture.failedFuture(
                CoordinationException.mayHaveRun(ErrorCode.NO_QUORUM, "no quorum", null));
        HttpResponse<String> response = fixture.send(order(newKey(), "order"));
        assertEquals(response.statusCode(), 503);
        assertTrue(response.body().contains("\"not_run\":true"));
        assertEquals(fixture.plain.get(0).pendingCalls(), 0);
    }

    /** Guards against an outcome that is not recorded because the caller has disconnected. */
    @Test
    public void outcomeIsRecordedAfterTheCallerDisconnects() throws Exception {
        String key = newKey();
        CompletableFuture<HttpResponse<String>> first = fixture.sendAsync(order(key, "order"));
        FakeSidecar.Call call = fixture.plain.get(0).next(Frame.BodyCase.PLAIN_CALL);
        first.cancel(true);
        call.server.finish(result(200, "done"));
        HttpResponse<String> retry = fixture.send(order(key, "order"));
        while (retry.body().contains("call_in_progress")) {
            retry = fixture.send(order(key, "order"));
        }
        assertEquals(retry.body(), "done");
        assertFalse(call.isCancelled());
    }

    /** Guards against a wrong response to a retry when the gateway of the record has failed. */
    @Test
    public void recordOfAFailedGatewayReportsOutcomeUnknown() throws Exception {
        fixture.control.commandResponse = command -> CompletableFuture.completedFuture(CommandResult.newBuilder()
                .setCall(CallResult.newBuilder()
                        .setRecord(CallRecord.newBuilder().setOutcome(CallOutcome.UNKNOWN)))
                .build());
        HttpResponse<String> response = fixture.send(order(newKey(), "order"));
        assertEquals(response.statusCode(), 409);
        assertTrue(response.body().contains("outcome_unknown"));
    }

    /** Guards against a missing or expired idempotency key that is ignored. */
    @Test
    public void missingOrExpiredIdempotencyKeyIsRefused() throws Exception {
        HttpResponse<String> missing = fixture.send(fixture.post("/orders", "o"));
        assertEquals(missing.statusCode(), 400);
        assertTrue(missing.body().contains("idempotency_key_invalid"));
        String old = IdempotencyKey.create(System.currentTimeMillis() - 25 * 3_600_000L, new Random())
                .text();
        HttpResponse<String> stale = fixture.send(order(old, "o"));
        assertEquals(stale.statusCode(), 400);
        assertTrue(stale.body().contains("\"not_run\":true"), stale.body());
    }

    /** Guards against an idempotent call that is not retried although a retry is safe. */
    @Test
    public void idempotentCallIsRetried() throws Exception {
        CompletableFuture<HttpResponse<String>> response =
                fixture.sendAsync(fixture.requestWithKey("/search").GET().build());
        fixture.plain.get(0).next(Frame.BodyCase.PLAIN_CALL).fail(ErrorCode.CONNECTION_LOST);
        fixture.plain.get(1).next(Frame.BodyCase.PLAIN_CALL).server.finish(result(200, "ok"));
        assertEquals(response.get().body(), "ok");
    }

    /** Guards against a record that stays open forever because the result of BeginCall was lost. */
    @Test
    public void recordIsClosedAfterItsBeginResultIsLost() throws Exception {
        var real = fixture.control.commandResponse;
        AtomicBoolean isLost = new AtomicBoolean();
        fixture.control.commandResponse = command -> {
            CompletableFuture<CommandResult> result = real.apply(command);
            boolean losesResponse = command.hasBeginCall() && isLost.compareAndSet(false, true);
            return losesResponse
                    ? CompletableFuture.failedFuture(
                            CoordinationException.mayHaveRun(ErrorCode.CONNECTION_LOST, "lost", null))
                    : result;
        };
        String key = newKey();
        assertTrue(fixture.send(order(key, "order")).body().contains("\"not_run\":true"));
        CompletableFuture<HttpResponse<String>> retry = fixture.sendAsync(order(key, "order"));
        while (fixture.plain.get(0).pendingCalls() == 0) {
            if (retry.isDone()) {
                assertTrue(
                        retry.get().body().contains("call_in_progress"),
                        retry.get().body());
                retry = fixture.sendAsync(order(key, "order"));
            }
        }
        FakeSidecar.Call call = fixture.plain.get(0).next(Frame.BodyCase.PLAIN_CALL);
        assertEquals(call.firstFrame.getPlainCall().getAttempt(), 2);
        call.server.finish(result(200, "done"));
        assertEquals(retry.get().body(), "done");
    }

    /** Guards against a response that is withheld because its record cannot be committed. */
    @Test
    public void responseIsSentAlthoughItsRecordIsNotCommitted() throws Exception {
        var real = fixture.control.commandResponse;
        fixture.control.commandResponse =
                command -> command.hasFinishCall() ? new CompletableFuture<>() : real.apply(command);
        CompletableFuture<HttpResponse<String>> response = fixture.sendAsync(order(newKey(), "order"));
        fixture.plain.get(0).next(Frame.BodyCase.PLAIN_CALL).server.finish(result(200, "done"));
        assertEquals(response.get().body(), "done");
    }
}
