package io.chivehollow.coordination.forwarding.pressure;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import io.chivehollow.coordination.forwarding.pressure.HeldRequest.Stage;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against memory that is freed at the cost of requests that matter more than others. */
public class LetGoOrderTest {

    private static final long BYTES = 100_000;

    private static final HeldRequest STALLED = new HeldRequest(Stage.RESPONDING, 1, true, BYTES, 3_000);
    private static final HeldRequest UPLOAD = new HeldRequest(Stage.RECEIVING, 1, false, BYTES, 0);
    private static final HeldRequest WAITING = new HeldRequest(Stage.WAITING, 1, false, BYTES, 0);
    private static final HeldRequest RESPONDING = new HeldRequest(Stage.RESPONDING, 1, true, BYTES, 0);
    private static final HeldRequest COMPLETE = new HeldRequest(Stage.DELIVERING, 1, true, BYTES, 0);
    private static final HeldRequest RUNNING = new HeldRequest(Stage.RUNNING, 1, true, BYTES, 0);
    private static final HeldRequest CALL = new HeldRequest(Stage.RUNNING, 1, false, BYTES, 0);
    private static final HeldRequest DONE_CALL = new HeldRequest(Stage.DELIVERING, 9, false, 50 * BYTES, 60_000);

    private static List<HeldRequest> orderOf(List<HeldRequest> requests) {
        List<HeldRequest> left = new ArrayList<>(requests);
        List<HeldRequest> order = new ArrayList<>();
        while (!left.isEmpty()) {
            HeldRequest next = LetGoOrder.leastCostly(left, Function.identity()).orElseThrow();
            order.add(next);
            left.remove(next);
        }
        return order;
    }

    @Test
    public void deliveredOutcomeOfACallIsTheLastToGo() {
        assertEquals(
                orderOf(List.of(DONE_CALL, CALL, RUNNING, COMPLETE, RESPONDING, WAITING, UPLOAD, STALLED)),
                List.of(STALLED, UPLOAD, WAITING, RESPONDING, COMPLETE, RUNNING, CALL, DONE_CALL));
    }

    @Test
    public void lessUrgentGoesFirstThenLongerStalledThenLarger() {
        HeldRequest urgent = new HeldRequest(Stage.RESPONDING, 0, true, 9 * BYTES, 9_000);
        HeldRequest stalledLonger = new HeldRequest(Stage.RESPONDING, 1, true, BYTES, 4_000);
        HeldRequest larger = new HeldRequest(Stage.RESPONDING, 1, true, 2 * BYTES, 3_000);
        assertEquals(
                orderOf(List.of(urgent, STALLED, larger, stalledLonger)),
                List.of(stalledLonger, larger, STALLED, urgent));
    }

    @Test
    public void requestThatFreesNothingIsKept() {
        HeldRequest small = new HeldRequest(Stage.RESPONDING, 9, true, 100, 60_000);
        assertEquals(
                LetGoOrder.leastCostly(List.of(small, COMPLETE), Function.identity())
                        .orElseThrow(),
                COMPLETE);
        assertTrue(LetGoOrder.leastCostly(List.of(small), Function.identity()).isEmpty());
    }
}
