package io.chivehollow.coordination.forwarding;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.forwarding.adapter.BackendEntry;
import io.chivehollow.coordination.forwarding.adapter.BackendEntry.Role;
import io.chivehollow.coordination.forwarding.stage.RoleChange;
import io.chivehollow.coordination.forwarding.stage.RolePlanner;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against role changes that leave a pool without servers or never end. */
public class RolePlannerTest {

    private static List<BackendEntry> servers(int prefillServers, int decodeServers) {
        List<BackendEntry> entries = new ArrayList<>();
        for (int i = 0; i < prefillServers + decodeServers; i++) {
            entries.add(entry("s" + i, i < prefillServers ? Role.PREFILL : Role.DECODE, false));
        }
        return entries;
    }

    private static BackendEntry entry(String id, Role role, boolean isDraining) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        return new BackendEntry(id, "s", address, FailureDomain.of("d"), isDraining, 0, role, 8);
    }

    /** Applies role changes until none is needed, and returns the final number of prefill servers. */
    private static long finalPrefillServers(List<BackendEntry> entries) {
        for (int changes = 0; ; changes++) {
            assertTrue(changes < 100, "Role changes are still requested after 100 changes");
            Optional<RoleChange> change = RolePlanner.next(entries);
            if (change.isEmpty()) {
                return entries.stream()
                        .filter(entry -> entry.role() == Role.PREFILL)
                        .count();
            }
            entries.replaceAll(entry -> entry.id().equals(change.get().backendServer())
                    ? entry(entry.id(), change.get().role(), false)
                    : entry);
        }
    }

    @Test
    public void roleChangesEndWithPrefillServersLeft() {
        assertEquals(finalPrefillServers(servers(3, 5)), 2);
        assertEquals(finalPrefillServers(servers(2, 4)), 2);
        assertEquals(finalPrefillServers(servers(30, 0)), 10);
        assertEquals(finalPrefillServers(servers(2, 0)), 1);
        assertEquals(finalPrefillServers(servers(0, 6)), 0);
    }

    @Test
    public void drainingAndPlainServersAreNotChanged() {
        assertEquals(
                RolePlanner.next(List.of(
                        entry("a", Role.PREFILL, true),
                        entry("b", Role.PREFILL, false),
                        entry("c", Role.PLAIN, false))),
                Optional.empty());
    }
}
