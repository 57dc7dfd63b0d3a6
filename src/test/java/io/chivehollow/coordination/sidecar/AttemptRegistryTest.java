package io.chivehollow.coordination.sidecar;

import io.chivehollow.coordination.sidecar.AttemptRegistry.CallKey;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against non-idempotent calls that run more than once because an attempt is accepted a second time, in
 * particular after the registry has evicted the call.
 */
public class AttemptRegistryTest {

    private static CallKey key(int number) {
        return new CallKey("team", "key-" + number);
    }

    private static AttemptRegistry started(int maxCalls) {
        AttemptRegistry registry = new AttemptRegistry(maxCalls);
        registry.setStartIndex(100);
        return registry;
    }

    @Test
    public void nothingIsAcceptedBeforeTheLogIsRead() {
        assertTrue(new AttemptRegistry(10).tryAccept(key(1), 101, 1).isPresent());
    }

    @Test
    public void higherAttemptIsAcceptedOnlyIfTheEarlierOneWasNotRun() {
        AttemptRegistry registry = started(10);
        assertFalse(registry.tryAccept(key(1), 101, 1).isPresent());
        assertTrue(registry.tryAccept(key(1), 101, 1).isPresent());
        assertTrue(registry.tryAccept(key(1), 101, 2).isPresent());
        registry.onNotRun(key(1));
        assertFalse(registry.tryAccept(key(1), 101, 2).isPresent());
        assertTrue(
                registry.tryAccept(key(1), 101, 1).isPresent(), "a delayed frame of the first attempt must be refused");
    }

    @Test
    public void evictedCallIsNeverAcceptedAgain() {
        AttemptRegistry registry = started(10);
        for (int i = 0; i < 1_000; i++) {
            assertFalse(registry.tryAccept(key(i), 101 + i, 1).isPresent());
        }
        for (int i = 0; i < 1_000; i++) {
            assertTrue(registry.tryAccept(key(i), 101 + i, 2).isPresent());
        }
    }
}
