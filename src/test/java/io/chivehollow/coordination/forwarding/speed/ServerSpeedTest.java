package io.chivehollow.coordination.forwarding.speed;

import java.util.Random;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against servers that are preferred or avoided because of wrong, old or jumping figures. */
public class ServerSpeedTest {

    private static final long MS = 1_000_000;
    private static final double TOLERANCE = 1e-9;

    private ServerSpeed speed = ServerSpeed.create();
    private long nowNanos;

    /** The clock is near its overflow. */
    @BeforeMethod
    public void start() {
        speed = ServerSpeed.create();
        nowNanos = Long.MAX_VALUE - 5_000 * MS;
    }

    private static ServerSpeed learnt(double slowness, long nowNanos) {
        ServerSpeed speed = ServerSpeed.create();
        for (int i = 0; i < 100; i++) {
            speed.onWork(20, 20 * slowness, nowNanos);
        }
        return speed;
    }

    @Test
    public void unknownServerIsUsual() {
        assertEquals(ServerSpeed.create().slowness(nowNanos), 1.0);
        assertFalse(ServerSpeed.create().isReported(nowNanos));
    }

    @DataProvider
    public Object[][] slownesses() {
        return new Object[][] {{1 / 1.6, 1 / 1.6}, {1.0, 1.0}, {1 / 0.6, 1 / 0.6}, {0.01, 0.25}, {1e6, 8.0}};
    }

    @Test(dataProvider = "slownesses")
    public void slownessIsLearntWithinBounds(double actual, double expected) {
        assertEquals(learnt(actual, nowNanos).slowness(nowNanos), expected, expected * 0.01);
    }

    /** The work of a machine that is busy for 15% of the time must not count as that of a slow server. */
    @Test
    public void workIsComparedWithTheReportOfItsTime() {
        Random random = new Random(7);
        for (int i = 0; i < 500; i++) {
            nowNanos += 1_000 * MS;
            double machine = random.nextDouble() < 0.15 ? 2.5 : 1;
            speed.onReported((int) (machine * 100), nowNanos);
            speed.onWork(20, 20 * 1.3 * machine, nowNanos);
        }
        speed.onReported(100, nowNanos);
        assertEquals(speed.slowness(nowNanos), 1.3, 0.05);
        speed.onReported(250, nowNanos);
        assertEquals(speed.slowness(nowNanos), 1.3 * 2.5, 0.15);
    }

    /** The result moves steadily from the last report to the mean of the reports, and not in a jump at the end. */
    @Test
    public void reportFadesUntilItsAge() {
        for (int i = 0; i < 200; i++) {
            speed.onReported(100, nowNanos);
        }
        speed.onReported(300, nowNanos);
        assertEquals(speed.slowness(nowNanos), 3.0, TOLERANCE);
        double mean = speed.meanSlowness(nowNanos);
        double before = speed.slowness(nowNanos);
        for (int i = 0; i < 30; i++) {
            nowNanos += 10 * MS;
            double slowness = speed.slowness(nowNanos);
            assertTrue(slowness < before && before - slowness < 0.1, before + " to " + slowness);
            before = slowness;
        }
        assertEquals(before, mean, TOLERANCE);
        assertFalse(speed.isReportCurrent(nowNanos));
        nowNanos += 1_000 * MS;
        assertEquals(speed.slowness(nowNanos), mean, TOLERANCE);
        assertTrue(speed.isReported(nowNanos));
    }

    @DataProvider
    public Object[][] falseReports() {
        return new Object[][] {{0}, {-1}, {Integer.MIN_VALUE}, {Integer.MAX_VALUE}, {1}, {999_999_999}};
    }

    /** One false report moves the result by at most the factor 4, and by at most 1.3 once it has expired. */
    @Test(dataProvider = "falseReports")
    public void falseReportMovesLittle(int percent) {
        ServerSpeed known = learnt(1, nowNanos);
        for (int i = 0; i < 20; i++) {
            known.onReported(100, nowNanos);
        }
        known.onReported(percent, nowNanos);
        double slowness = known.slowness(nowNanos);
        assertTrue(slowness >= 0.5 && slowness <= 4, "slowness " + slowness);
        assertTrue(percent > 0 || slowness == 1, "slowness " + slowness);
        double later = known.slowness(nowNanos + 300 * MS);
        assertTrue(later >= 1 / 1.3 && later <= 1.31, "slowness " + later);
    }

    /** What a server's own work shows prevails over a figure that is always the same, whatever the figure is. */
    @Test(dataProvider = "falseReports")
    public void constantFalseReportIsOutweighedByWork(int percent) {
        for (int i = 0; i < 200; i++) {
            nowNanos += 100 * MS;
            speed.onReported(percent, nowNanos);
            speed.onWork(20, 20 * 1.5, nowNanos);
        }
        assertEquals(speed.slowness(nowNanos), 1.5, 0.05);
    }

    @DataProvider
    public Object[][] durations() {
        return new Object[][] {
            {20, 0},
            {20, -5},
            {0, 20},
            {-1, 20},
            {Double.NaN, 20},
            {20, Double.NaN},
            {20, Double.POSITIVE_INFINITY},
            {20, 1e300},
            {20, 1e-300}
        };
    }

    @Test(dataProvider = "durations")
    public void onePieceOfWorkMovesLittle(double expectedMs, double observedMs) {
        speedAfterWork(ServerSpeed.create(), expectedMs, observedMs);
        speedAfterWork(learnt(1, nowNanos), expectedMs, observedMs);
    }

    private void speedAfterWork(ServerSpeed known, double expectedMs, double observedMs) {
        double before = known.slowness(nowNanos);
        known.onWork(expectedMs, observedMs, nowNanos);
        double factor = known.slowness(nowNanos) / before;
        assertTrue(factor >= 1 / 1.5 - TOLERANCE && factor <= 1.5 + TOLERANCE, "factor " + factor);
    }

    /** A server that was slow once gets requests again, from which its present speed is learnt. */
    @Test
    public void learntSpeedIsForgottenWithoutWork() {
        ServerSpeed known = learnt(4, nowNanos);
        assertEquals(known.slowness(nowNanos + 30_000 * MS), 4, 0.05);
        assertEquals(known.slowness(nowNanos + 60_000 * MS), 2, 0.05);
        assertEquals(known.slowness(nowNanos + 600_000 * MS), 1, 0.01);
    }

    @Test
    public void serverStopsToCountAsReporting() {
        speed.onReported(100, nowNanos);
        assertTrue(speed.isReported(nowNanos + 60_000 * MS));
        assertFalse(speed.isReported(nowNanos + 601_000 * MS));
    }
}
