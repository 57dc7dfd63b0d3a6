package io.chivehollow.coordination.sidecar;

import java.util.ArrayList;
import java.util.List;

import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Order;
import io.chivehollow.protocol.wire.OrderResult;
import io.chivehollow.settings.SidecarSettings.BackendKind;
import io.chivehollow.standin.StandInEngine;
import io.chivehollow.transport.ClientConnection;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against commands of a superseded sender that reach an engine which ignores fencing numbers. */
public class SidecarCommandsTest {

    private static final String[] IGNORES_FENCING_NUMBERS = {"--fencing", "ignore"};

    @Test
    public void commandWithAnOlderFencingNumberIsRefused() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInEngine engine = harness.engine(IGNORES_FENCING_NUMBERS);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());

            assertTrue(sendCommand(connection, 20).getAccepted());
            assertFalse(sendCommand(connection, 15).getAccepted());
            assertEquals(sendCommand(connection, 15).getHighestFencingNumber(), 20);
            assertTrue(
                    sendCommand(connection, 20).getAccepted(),
                    "the holder of a fencing number may send several commands");

            assertEquals(engine.state().commands(), List.of("/admin/load_model 20", "/admin/load_model 20"));
        }
    }

    @Test
    public void fencingNumberIssuedBeforeTheSidecarsStartIsRefused() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().startRecord(new StartRecord(100, 21))) {
            StandInEngine engine = harness.engine(IGNORES_FENCING_NUMBERS);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());

            assertFalse(sendCommand(connection, 20).getAccepted());

            assertTrue(engine.state().commands().isEmpty());
        }
    }

    @Test
    public void withoutFencingACommandWithAnOlderNumberIsExecuted() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().without(SidecarSafeguard.FENCING)) {
            StandInEngine engine = harness.engine(IGNORES_FENCING_NUMBERS);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());

            sendCommand(connection, 20);
            assertTrue(sendCommand(connection, 15).getAccepted());

            assertEquals(engine.state().commands(), List.of("/admin/load_model 20", "/admin/load_model 15"));
        }
    }

    @Test
    public void concurrentCommandsReachTheEngineInTheOrderOfTheirNumbers() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            StandInEngine engine = harness.engine(IGNORES_FENCING_NUMBERS);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            List<TestCall> calls = new ArrayList<>();
            for (int number : new int[] {30, 50, 40, 60, 55, 70, 35}) {
                calls.add(openCommand(connection, number));
            }
            calls.forEach(call -> call.await(Frame::hasOrderResult));

            assertEquals(
                    engine.state().commands(),
                    List.of(
                            "/admin/load_model 30",
                            "/admin/load_model 50",
                            "/admin/load_model 60",
                            "/admin/load_model 70"));
        }
    }

    /** Guards against more concurrent loads from the weight store than the schedule allows. */
    @Test
    public void modelLoadIsSentOnlyWithAPermitThatIsClosedAfterIt() throws Exception {
        TestWeightLoadPermits permits = new TestWeightLoadPermits();
        try (SidecarHarness harness = new SidecarHarness().weightLoadPermits(permits)) {
            StandInEngine engine = harness.engine(IGNORES_FENCING_NUMBERS);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            TestCall first = openCommand(connection, 20);
            TestCall second = openCommand(connection, 21);
            Await.until("first permit requested", () -> permits.requestedCount() == 1);
            assertTrue(engine.state().commands().isEmpty());
            permits.grant(0);
            first.await(Frame::hasOrderResult);
            Await.until("second permit requested", () -> permits.requestedCount() == 2);
            assertEquals(permits.openCount(), 1);
            permits.grant(1);
            second.await(Frame::hasOrderResult);
            Await.until("permits closed", () -> permits.openCount() == 0);
            assertEquals(engine.state().commands(), List.of("/admin/load_model 20", "/admin/load_model 21"));
        }
    }

    /** Guards against a model load that runs after its operator has cancelled it, or that keeps its permit. */
    @Test
    public void cancelledModelLoadIsNotSentAndReleasesItsPermit() throws Exception {
        TestWeightLoadPermits permits = new TestWeightLoadPermits();
        try (SidecarHarness harness = new SidecarHarness().weightLoadPermits(permits)) {
            StandInEngine engine = harness.engine(IGNORES_FENCING_NUMBERS);
            ClientConnection connection = harness.connectedSidecar(BackendKind.DECODE, engine.address());
            TestCall cancelled = openCommand(connection, 20);
            TestCall next = openCommand(connection, 21);
            Await.until("first permit requested", () -> permits.requestedCount() == 1);
            cancelled.cancel();
            Await.until("second permit requested", () -> permits.requestedCount() == 2);
            permits.grant(0);
            permits.grant(1);
            next.await(Frame::hasOrderResult);
            assertEquals(engine.state().commands(), List.of("/admin/load_model 21"));
        }
    }

    private static TestCall openCommand(ClientConnection connection, long number) {
        Order.Builder order =
                Order.newBuilder().setKind("load_model").setArgument("m").setFencingNumber(number);
        return TestCall.open(connection, Frame.newBuilder().setOrder(order));
    }

    private static OrderResult sendCommand(ClientConnection connection, long number) {
        return openCommand(connection, number).await(Frame::hasOrderResult).getOrderResult();
    }
}
