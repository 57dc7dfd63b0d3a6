package io.chivehollow.runtime;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against ended requests that stay in memory until their deadline because a cancelled timer is still queued. */
public class ProcessResourcesTest {

    private static final int LONG_DELAY_MS = 3_600_000;

    @Test
    public void cancelledTimerIsRemovedFromQueue() {
        try (ProcessResources resources = new ProcessResources()) {
            resources.scheduler().schedule(LONG_DELAY_MS, () -> {}).cancel();
            assertEquals(resources.pendingTimers(), 0);
        }
    }
}
