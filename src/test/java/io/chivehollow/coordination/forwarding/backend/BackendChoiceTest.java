package io.chivehollow.coordination.forwarding.backend;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.forwarding.adapter.BackendEntry;
import io.chivehollow.coordination.forwarding.adapter.BackendEntry.Stage;
import io.chivehollow.coordination.forwarding.adapter.BackendLoad;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against requests to backend servers that leave, are out of service, cold, failing or full. */
public class BackendChoiceTest {

    private static final long MS = 1_000_000;

    private long nowNanos = 77;
    private final List<BackendEntry> entries = new ArrayList<>();
    private BackendTable table = BackendTable.create(() -> nowNanos);
    private BackendChoice choice = BackendChoice.create(table, new Random(1), () -> 8);

    @BeforeMethod
    public void start() {
        entries.clear();
        table = BackendTable.create(() -> nowNanos);
        choice = BackendChoice.create(table, new Random(1), () -> 8);
    }

    private void list(String id, Stage stage, String domain, boolean isDraining, long coldLeftMs) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1000 + entries.size());
        entries.add(new BackendEntry(id, "s", address, FailureDomain.of(domain), isDraining, coldLeftMs, stage, 8));
        table.update(entries);
    }

    private String server(Set<String> excluded) {
        return choice.server("s", excluded, domain -> domain.value().equals("out"), nowNanos)
                .map(Backend::id)
                .orElse("none");
    }

    private Backend backend(String id) {
        return table.all().stream()
                .filter(backend -> backend.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    @Test
    public void leavingAndOutOfServiceGetNothing() {
        list("leaving", Stage.PLAIN, "in", true, 0);
        list("away", Stage.PLAIN, "out", false, 0);
        assertEquals(server(Set.of()), "none");
        list("good", Stage.PLAIN, "in", false, 0);
        assertEquals(server(Set.of()), "good");
        assertEquals(server(Set.of("good")), "none");
    }

    /** A failure must not starve the service when no other server is there. */
    @Test
    public void failingServerIsAvoidedOnlyWhileThereAreOthers() {
        list("a", Stage.PLAIN, "in", false, 0);
        list("b", Stage.PLAIN, "in", false, 0);
        backend("a").onFailure(nowNanos);
        for (int i = 0; i < 20; i++) {
            assertEquals(server(Set.of()), "b");
        }
        assertEquals(server(Set.of("b")), "a");
        nowNanos += 300 * MS;
        backend("b").onStart(0, 0, nowNanos);
        assertEquals(server(Set.of()), "a");
    }

    /** A cold server crashes above its rate, which all processes share. */
    @Test
    public void coldServerGetsFewRequests() {
        list("cold", Stage.PLAIN, "in", false, 6_000);
        int sent = 0;
        for (int i = 0; i < 400; i++) {
            if (!server(Set.of()).equals("none")) {
                backend("cold").onStart(0, 0, nowNanos);
                sent++;
            }
            nowNanos += 10 * MS;
        }
        assertTrue(8 * sent <= 4 * 6 + 8, sent + " requests of one of eight processes in 4 s");
        assertTrue(sent >= 2, sent + " requests");
        nowNanos += 3_000 * MS;
        assertEquals(server(Set.of()), "cold");
    }

    @Test
    public void replacedServerIsNotUsedAgain() {
        list("old", Stage.PLAIN, "in", false, 0);
        backend("old").onReplaced();
        table.update(entries);
        assertEquals(server(Set.of()), "none");
    }

    /** What a server says of its load counts while it is new, because other processes send requests, too. */
    @Test
    public void reportedLoadCounts() {
        list("a", Stage.PLAIN, "in", false, 0);
        list("b", Stage.PLAIN, "in", false, 0);
        backend("a").onLoad(new BackendLoad(5, 1, 8), nowNanos);
        backend("b").onStart(0, 0, nowNanos);
        assertEquals(server(Set.of()), "b");
        nowNanos += 1_000 * MS;
        assertEquals(server(Set.of()), "a");
    }

    @Test
    public void prefillAndDecodeServersAreKeptApart() {
        list("p", Stage.PREFILL, "in", false, 0);
        list("d", Stage.DECODE, "in", false, 0);
        assertEquals(server(Set.of()), "d");
        assertEquals(prefill(), "p");
    }

    /** Guards against a prompt that waits behind those of other processes while another server is idle. */
    @Test
    public void promptsOfOtherProcessesCount() {
        list("d", Stage.DECODE, "in", false, 0);
        list("busy", Stage.PREFILL, "in", false, 0);
        list("idle", Stage.PREFILL, "elsewhere", false, 0);
        assertEquals(prefill(), "busy");
        backend("busy").onLoad(new BackendLoad(1, 1, 8), nowNanos);
        assertEquals(prefill(), "idle");
        nowNanos += 1_000 * MS;
        assertEquals(prefill(), "busy");
    }

    /** Guards against prompts that queue up at one server for a second while its burst goes on. */
    @Test
    public void promptIsReadByTheDecodeServerWhileTheQueueIsLong() {
        list("d", Stage.DECODE, "in", false, 0);
        list("p", Stage.PREFILL, "in", false, 0);
        backend("p").prompts().onStart("a", 5_000, nowNanos);
        nowNanos += 250 * MS;
        assertEquals(prefill(), "p");
        nowNanos += 60 * MS;
        assertEquals(prefill(), "none");
        backend("p").prompts().onEnd("a", true, nowNanos);
        assertEquals(prefill(), "none");
        nowNanos += 100 * MS;
        assertEquals(prefill(), "p");
    }

    /** A second prompt, or a long one, would delay the events of all runs at the decode server for too long. */
    @Test
    public void decodeServerReadsOneShortPromptAtATime() {
        list("d", Stage.DECODE, "in", false, 0);
        list("p", Stage.PREFILL, "in", false, 0);
        backend("p").prompts().onStart("a", 5_000, nowNanos);
        nowNanos += 400 * MS;
        assertEquals(prefill(), "none");
        assertEquals(
                choice.prefill("s", 8_000, Set.of(), backend("d"), domain -> false, nowNanos)
                        .map(Backend::id)
                        .orElse("none"),
                "p");
        backend("d").onStart(5_000, 6_000, nowNanos);
        assertEquals(prefill(), "p");
    }

    /** Guards against memory that is held for a second while a prompt waits to be read. */
    @Test
    public void longPromptsWaitWhileAllPrefillServersAreBusy() {
        list("p", Stage.PREFILL, "in", false, 0);
        backend("p").prompts().onStart("a", 5_000, nowNanos);
        nowNanos += 350 * MS;
        assertFalse(choice.isPrefillBusy("s", 6_000, domain -> false, nowNanos));
        nowNanos += 50 * MS;
        assertTrue(choice.isPrefillBusy("s", 6_000, domain -> false, nowNanos));
        assertFalse(choice.isPrefillBusy("s", 2_000, domain -> false, nowNanos));
        list("q", Stage.PREFILL, "in", false, 0);
        assertFalse(choice.isPrefillBusy("s", 6_000, domain -> false, nowNanos));
    }

    private String prefill() {
        return choice.prefill("s", 3_000, Set.of(), backend("d"), domain -> false, nowNanos)
                .map(Backend::id)
                .orElse("none");
    }

    /** A refused reservation is not asked for again at once, but a smaller one is. */
    @Test
    public void fullMemoryIsNotAskedAgainAtOnce() {
        list("d", Stage.DECODE, "in", false, 0);
        backend("d").onMemoryFull(5_000, nowNanos);
        assertEquals(choice.memory("s", 6_000, domain -> false, nowNanos).isPresent(), false);
        assertEquals(choice.memory("s", 4_000, domain -> false, nowNanos).isPresent(), true);
        backend("d").onMemoryFreed();
        assertEquals(choice.memory("s", 6_000, domain -> false, nowNanos).isPresent(), true);
    }
}
