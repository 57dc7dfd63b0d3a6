package io.chivehollow.coordination.forwarding.reserve;

import java.util.ArrayList;
import java.util.List;

import io.chivehollow.coordination.forwarding.queue.QueueEvents;
import io.chivehollow.coordination.forwarding.queue.Urgency;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against requests that wait for ever, or for a server that does not answer. */
public class MemoryQueueFailureTest {

    private static final long SERVER_TOKENS = 10_000;

    private static final long RUN_MS = 200;

    private final List<String> ends = new ArrayList<>();
    private SharedServers servers = new SharedServers(1, SERVER_TOKENS);
    private MemoryQueue queue = servers.newProcess(QueueEvents.none());

    private void start(int serverCount) {
        ends.clear();
        servers = new SharedServers(serverCount, SERVER_TOKENS);
        queue = servers.newProcess(QueueEvents.none());
    }

    private void add(String name, int rank, long tokens, long maxWaitMs, boolean isLate) {
        MemoryRequest request = new MemoryRequest(
                SharedServers.SERVICE,
                tokens,
                2_000,
                isLate,
                maxWaitMs,
                domain -> false,
                new Urgency(rank, "team", 0),
                SERVER_TOKENS);
        queue.add(request, granted -> {
            ends.add(name + (granted == null ? " refused" : " served"));
            if (granted != null) {
                servers.run(granted, RUN_MS, () -> queue.onMemoryReleased(SharedServers.SERVICE));
            }
        });
    }

    /** One of two servers takes calls and answers none; only what was sent there, at most four calls, expires. */
    @Test
    public void requestsPassThoseThatASilentServerHolds() {
        start(2);
        servers.silence("d0");
        for (int i = 0; i < 8; i++) {
            add("request" + i, i % 3, 1_000, 500, false);
        }
        servers.runUntil(600);
        assertEquals(ends.size(), 8, ends.toString());
        assertTrue(ends.stream().filter(end -> end.endsWith("refused")).count() <= 4, ends.toString());
    }

    /** No server has memory: each request is refused when its time is over, whatever its rank. */
    @Test
    public void nothingWaitsForeverWithoutMemory() {
        start(1);
        add("urgent", 0, SERVER_TOKENS + 1, 300, false);
        add("other", 2, SERVER_TOKENS + 1, 900, false);
        add("late", 2, SERVER_TOKENS + 1, 2_000, true);
        servers.runUntil(2_010);
        assertEquals(ends, List.of("urgent refused", "other refused", "late refused"));
    }

    /** Urgent requests keep arriving at twice the rate at which they are served. */
    @Test
    public void lastTryIsServedWhileUrgentRequestsKeepArriving() {
        start(1);
        add("urgent", 0, SERVER_TOKENS / 2, 300, false);
        add("urgent", 0, SERVER_TOKENS / 2, 300, false);
        add("last try", 2, SERVER_TOKENS / 2, 2_000, true);
        for (int i = 0; i < 40; i++) {
            add("urgent", 0, SERVER_TOKENS / 2, 300, false);
            servers.runUntil(servers.nowMs() + RUN_MS / 4);
        }
        assertTrue(ends.contains("last try served"), ends.toString());
    }
}
