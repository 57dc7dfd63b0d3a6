package io.chivehollow.coordination.sidecar;

import java.lang.reflect.Proxy;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.Clock;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.RequestId;
import io.chivehollow.coordination.coldstart.RampConfig;
import io.chivehollow.coordination.loads.WeightLoadPermits;
import io.chivehollow.protocol.engine.EngineClient;
import io.chivehollow.protocol.engine.EngineException;
import io.chivehollow.protocol.engine.EngineStatus;
import io.chivehollow.settings.SidecarSettings;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against status calls that are too rare to detect a restart of the engine, or too frequent while the sidecar
 * has no work.
 */
@Test(singleThreaded = true)
public class EngineMonitorTest {

    private static final int PERIOD_MS = 500;

    private MockTicker ticker;
    private EmbeddedChannel channel;
    private SidecarContext context;
    private int polls;
    private boolean hasCalls;
    private boolean isUnreachable;
    private Runnable statusConnectionLost;

    @BeforeMethod
    public void start() {
        ticker = Ticker.newMockTicker();
        channel = EmbeddedChannel.builder().ticker(ticker).build();
        hasCalls = false;
        isUnreachable = false;
        SidecarOptions options = new SidecarOptions(
                BackendServerId.of("s"),
                FailureDomain.of("d"),
                SidecarSettings.BackendKind.DECODE,
                64,
                4096,
                1,
                new RampConfig(8, 100, 1),
                800,
                1_000,
                1_000,
                135,
                PERIOD_MS);
        SidecarServices services = new SidecarServices(
                new TestConfigView(),
                () -> CompletableFuture.completedFuture(new StartRecord(1, 1)),
                WeightLoadPermits.unlimited(),
                new MetricRegistry());
        context = new SidecarContext(options, channel.eventLoop(), Clock.system(), services, engine(), Set.of());
        context.monitor().setWorkSupplier(() -> hasCalls);
        context.monitor().start();
        channel.runPendingTasks();
    }

    private EngineClient engine() {
        return (EngineClient) Proxy.newProxyInstance(
                EngineClient.class.getClassLoader(),
                new Class<?>[] {EngineClient.class},
                (proxy, method, arguments) -> switch (method.getName()) {
                    case "status" -> status();
                    case "abortAll" -> CompletableFuture.completedFuture(null);
                    case "setStatusConnectionLostListener" -> {
                        statusConnectionLost = (Runnable) arguments[0];
                        yield null;
                    }
                    default -> throw new UnsupportedOperationException(method.getName());
                });
    }

    private CompletableFuture<EngineStatus> status() {
        polls++;
        return isUnreachable
                ? CompletableFuture.failedFuture(EngineException.notSent(
                        io.chivehollow.base.ErrorCode.BACKEND_FAILED, "refused", new java.io.IOException()))
                : CompletableFuture.completedFuture(new EngineStatus("boot", 0, 0, 0));
    }

    /** Returns the number of status calls in this many periods. */
    private int pollsIn(int periods) {
        channel.runPendingTasks();
        polls = 0;
        for (int i = 0; i < periods; i++) {
            ticker.advanceMillis(PERIOD_MS);
            channel.runScheduledPendingTasks();
            channel.runPendingTasks();
        }
        return polls;
    }

    @Test
    public void statusIsPolledInEachPeriodOnlyWithWork() {
        assertEquals(pollsIn(20), 5);
        hasCalls = true;
        assertEquals(pollsIn(20), 20);
        hasCalls = false;
        Lease lease =
                context.capacity().tryLease(RequestId.of("aborting"), 1, 1).orElseThrow();
        assertEquals(pollsIn(20), 20);
        context.capacity().release(lease);
        assertEquals(pollsIn(20), 5);
    }

    /**
     * Guards against an engine restart that is not detected within one period while the sidecar has no work. The sign
     * of a restart is a lost status connection or a failed status call.
     */
    @Test
    public void lostConnectionAndFailedCallsArePolledInTheNextPeriod() {
        pollsIn(20);
        statusConnectionLost.run();
        assertEquals(pollsIn(1), 1);
        isUnreachable = true;
        statusConnectionLost.run();
        assertEquals(pollsIn(10), 10);
    }
}
