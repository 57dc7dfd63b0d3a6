package io.chivehollow.coordination.forwarding;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.forwarding.adapter.BackendEntry;
import io.chivehollow.coordination.forwarding.adapter.BackendEntry.Stage;
import io.chivehollow.coordination.forwarding.stage.StageChange;
import io.chivehollow.coordination.forwarding.stage.StagePlanner;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against a division of stages that leaves a stage without servers or never comes to rest. */
public class StagePlannerTest {

    private static List<BackendEntry> servers(int readers, int makers) {
        List<BackendEntry> entries = new ArrayList<>();
        for (int i = 0; i < readers + makers; i++) {
            entries.add(entry("s" + i, i < readers ? Stage.PREFILL : Stage.DECODE, false));
        }
        return entries;
    }

    private static BackendEntry entry(String id, Stage stage, boolean isDraining) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        return new BackendEntry(id, "s", address, FailureDomain.of("d"), isDraining, 0, stage, 8);
    }

    /** Applies all changes and returns how many servers read prompts in the end. */
    private static long readersAtRest(List<BackendEntry> entries) {
        for (int changes = 0; ; changes++) {
            assertTrue(changes < 100, "The division does not come to rest");
            Optional<StageChange> change = StagePlanner.next(entries);
            if (change.isEmpty()) {
                return entries.stream()
                        .filter(entry -> entry.stage() == Stage.PREFILL)
                        .count();
            }
            entries.replaceAll(entry -> entry.id().equals(change.get().backendServer())
                    ? entry(entry.id(), change.get().stage(), false)
                    : entry);
        }
    }

    @Test
    public void divisionComesToRestWithReadersLeft() {
        assertEquals(readersAtRest(servers(3, 5)), 2);
        assertEquals(readersAtRest(servers(2, 4)), 2);
        assertEquals(readersAtRest(servers(30, 0)), 10);
        assertEquals(readersAtRest(servers(2, 0)), 1);
        assertEquals(readersAtRest(servers(0, 6)), 0);
    }

    @Test
    public void leavingAndOrdinaryServersAreLeftAlone() {
        assertEquals(
                StagePlanner.next(List.of(
                        entry("a", Stage.PREFILL, true),
                        entry("b", Stage.PREFILL, false),
                        entry("c", Stage.PLAIN, false))),
                Optional.empty());
    }
}
