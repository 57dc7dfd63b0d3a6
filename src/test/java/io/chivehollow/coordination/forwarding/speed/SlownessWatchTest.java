package io.chivehollow.coordination.forwarding.speed;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against a line in the log for each moment in which a server is slow. */
public class SlownessWatchTest {

    private static final long SECOND = 1_000_000_000;

    private final SlownessWatch watch = SlownessWatch.create();

    private int changes(double slowness, long fromSecond, long toSecond) {
        int changes = 0;
        for (long second = fromSecond; second < toSecond; second++) {
            changes += watch.update(slowness, second * SECOND) ? 1 : 0;
        }
        return changes;
    }

    @Test
    public void onlyLongChangesAreNoticed() {
        assertTrue(changes(4, 0, 5) == 0 && changes(1, 5, 6) == 0 && changes(4, 6, 11) == 0);
        assertFalse(watch.isSlow());
        assertTrue(changes(4, 11, 60) == 1 && watch.isSlow());
        assertTrue(changes(2, 60, 90) == 0 && watch.isSlow());
        assertTrue(changes(1, 90, 120) == 1 && !watch.isSlow());
    }
}
