package io.chivehollow.coordination.sidecar;

import java.util.ArrayList;
import java.util.List;

import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Priority;
import io.chivehollow.protocol.wire.RequestInfo;
import io.chivehollow.protocol.wire.Team;
import io.chivehollow.settings.SidecarSettings.BackendKind;
import io.chivehollow.standin.StandInEngine;
import io.chivehollow.transport.ClientConnection;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against a queue that is served in the order of arrival, regardless of teams and priorities. */
public class SidecarQueueTest {

    @Test
    public void prefillsAreOrderedByTeamWeightWithBatchLast() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().maxConcurrent(1)) {
            harness.view.change(state -> state.clearTeams()
                    .addTeams(Team.newBuilder().setId("team-a").setWeight(1))
                    .addTeams(Team.newBuilder().setId("team-b").setWeight(2)));
            StandInEngine engine = harness.engine("--time-scale", "100000");
            ClientConnection connection = harness.connectedSidecar(BackendKind.PREFILL, engine.address());
            List<String> ids = new ArrayList<>();
            List<TestCall> calls = new ArrayList<>();
            // The first two are announced at once: one for the free slot and one ahead of time.
            for (String id : List.of("first", "second")) {
                calls.add(SidecarHarness.admit(connection, request(id, "other")));
                calls.get(calls.size() - 1).await(Frame::hasPrefillReady);
                ids.add(id);
            }
            for (String id : List.of("batch", "a1", "a2", "a3", "b1", "b2", "b3", "b4")) {
                String team = id.startsWith("b") ? "team-b" : "team-a";
                RequestInfo.Builder request = request(id, team);
                calls.add(SidecarHarness.admit(
                        connection, id.equals("batch") ? request.setPriority(Priority.BATCH) : request));
                ids.add(id);
            }
            Await.until(
                    "queued", () -> SidecarHarness.status(connection).getLoad().getQueued() == 8);

            assertEquals(
                    announcementOrder(ids, calls),
                    List.of("first", "second", "a1", "b1", "b2", "a2", "b3", "b4", "a3", "batch"));
        }
    }

    private static RequestInfo.Builder request(String id, String team) {
        return SidecarHarness.request(id, 100, 10).setTeam(team);
    }

    /** Repeatedly cancels the older of the two announced requests and returns the order of announcements. */
    private static List<String> announcementOrder(List<String> ids, List<TestCall> calls) {
        List<String> order = new ArrayList<>(List.of("first", "second"));
        for (int cancelled = 0; order.size() < ids.size(); cancelled++) {
            calls.get(ids.indexOf(order.get(cancelled))).cancel();
            Await.until("next announced", () -> nextAnnounced(ids, calls, order) >= 0);
            order.add(ids.get(nextAnnounced(ids, calls, order)));
        }
        return order;
    }

    private static int nextAnnounced(List<String> ids, List<TestCall> calls, List<String> announced) {
        for (int i = 0; i < ids.size(); i++) {
            if (!announced.contains(ids.get(i)) && calls.get(i).has(Frame::hasPrefillReady)) {
                return i;
            }
        }
        return -1;
    }
}
