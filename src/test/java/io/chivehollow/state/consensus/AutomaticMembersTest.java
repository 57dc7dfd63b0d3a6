package io.chivehollow.state.consensus;

import java.util.List;

import io.chivehollow.base.InstanceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against a group that a replaced instance cannot join, or that keeps the votes of instances that are gone. */
public class AutomaticMembersTest {

    /** Longer than the silence after which a voter is removed. */
    private static final int REMOVAL_MS = 8_000;

    @DataProvider
    public Object[][] seeds() {
        Object[][] rows = new Object[20][];
        for (int i = 0; i < rows.length; i++) {
            rows[i] = new Object[] {(long) i + 1};
        }
        return rows;
    }

    private static List<InstanceId> voters(Simulation simulation) {
        for (int i = 0; simulation.leader().isEmpty(); i++) {
            assertTrue(i < 200, "No leader");
            simulation.run(50);
        }
        return simulation.leader().orElseThrow().loop.view().status().members().stream()
                .filter(ReplicatedLog.MemberStatus::isVoter)
                .map(ReplicatedLog.MemberStatus::instance)
                .toList();
    }

    private static Simulation start(long seed) {
        Simulation simulation = Simulation.automatic(seed, 3, 4);
        simulation.commit(30);
        assertEquals(voters(simulation).size(), 3);
        return simulation;
    }

    /** A new instance takes the place of one that is gone for good, and nothing committed is lost. */
    @Test(dataProvider = "seeds")
    public void newInstanceReplacesLostOne(long seed) {
        Simulation simulation = start(seed);
        SimMember lost = simulation.member((int) (seed % 3));
        simulation.crash(lost.number);
        simulation.start(simulation.member(3));
        simulation.run(REMOVAL_MS);
        simulation.commit(10);
        simulation.run(REMOVAL_MS);
        List<InstanceId> voters = voters(simulation);
        assertEquals(voters.size(), 3, voters.toString());
        assertFalse(voters.contains(lost.instance), voters.toString());
        // Two losses, one after the other, that the group of the first members would not have survived.
        SimMember next = simulation.member((int) ((seed + 1) % 3));
        simulation.crash(next.number);
        simulation.commit(10);
        simulation.finish();
    }

    /** A silent voter keeps its vote while nobody has taken its place, so that the group does not shrink. */
    @Test(dataProvider = "seeds")
    public void silentVoterStaysWithoutSuccessor(long seed) {
        Simulation simulation = start(seed);
        simulation.crash((int) (seed % 3));
        simulation.run(2 * REMOVAL_MS);
        simulation.commit(3);
        assertEquals(voters(simulation).size(), 3);
    }

    /** Instances that start without a group must not form a second one beside the first. */
    @Test(dataProvider = "seeds")
    public void lateInstanceFormsNoGroup(long seed) {
        Simulation simulation = start(seed);
        for (int number = 0; number < 3; number++) {
            simulation.crash(number);
        }
        simulation.start(simulation.member(3));
        simulation.run(REMOVAL_MS);
        assertTrue(simulation.leader().isEmpty(), "An instance without a log leads a group of its own");
        for (int number = 0; number < 3; number++) {
            simulation.start(simulation.member(number));
        }
        simulation.commit(5);
    }
}
