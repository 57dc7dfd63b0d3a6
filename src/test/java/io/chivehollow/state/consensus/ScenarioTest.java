package io.chivehollow.state.consensus;

import java.util.Set;

import io.chivehollow.base.InstanceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/** Guards against wrong behaviour in the failure scenarios that the requirements name, each with several seeds. */
public class ScenarioTest {

    private static final int MS = 1_000_000;

    @DataProvider
    public Object[][] seeds() {
        Object[][] rows = new Object[20][];
        for (int i = 0; i < rows.length; i++) {
            rows[i] = new Object[] {(long) i + 1};
        }
        return rows;
    }

    private static Simulation start(long seed, int size) {
        Simulation simulation = new Simulation(seed, size, Set.of());
        simulation.commit(5);
        return simulation;
    }

    private static SimMember leader(Simulation simulation) {
        for (int i = 0; simulation.leader().isEmpty(); i++) {
            assertTrue(i < 200, "No leader");
            simulation.run(50);
        }
        return simulation.leader().orElseThrow();
    }

    private static int follower(Simulation simulation) {
        return (leader(simulation).number + 1) % simulation.members().size();
    }

    /** A process that crashes in any file operation must neither lose nor contradict what it has acknowledged. */
    @Test
    public void crashAtEachFileOperationLosesNothing() {
        for (int step = 1; step <= 40; step++) {
            Simulation simulation = start(step, 3);
            int victim = step % 2 == 0 ? leader(simulation).number : follower(simulation);
            simulation.member(victim).disk.crashAfter(step);
            simulation.commit(10);
            simulation.recoverAndVerify();
        }
    }

    @Test(dataProvider = "seeds")
    public void memberWithLostDiskJoinsUnderNewIncarnation(long seed) {
        Simulation simulation = start(seed, 3);
        int victim = (int) (seed % 3);
        long before = simulation.member(victim).incarnation();
        simulation.loseDisk(victim);
        simulation.commit(5);
        simulation.recoverAndVerify();
        assertNotEquals(simulation.member(victim).incarnation(), before);
    }

    /** A member that has recovered from a disk loss must count as a voter when the next member loses its disk. */
    @Test(dataProvider = "seeds")
    public void diskLossRightAfterRecoveryOfAnotherIsSurvived(long seed) {
        Simulation simulation = start(seed, 3);
        for (int victim = 0; victim < 6; victim++) {
            simulation.loseDisk(victim % 3);
            simulation.start(simulation.member(victim % 3));
            for (int i = 0; !simulation.allInstancesVote(); i++) {
                assertTrue(i < 2_000, "The group has not recovered");
                simulation.run(20);
            }
        }
        simulation.recoverAndVerify();
    }

    /** The remaining members must not elect one that lacks an acknowledged command. */
    @Test(dataProvider = "seeds")
    public void lostDiskWithPartitionedMemberElectsNoLeader(long seed) {
        Simulation simulation = start(seed, 3);
        int lost = leader(simulation).number;
        int cutOff = (lost + 1) % 3;
        for (int other = 0; other < 3; other++) {
            simulation.setBlocked(cutOff, other, true);
            simulation.setBlocked(other, cutOff, true);
        }
        simulation.commit(5);
        simulation.loseDisk(lost);
        simulation.start(simulation.member(lost));
        simulation.run(5_000);
        assertTrue(simulation.leader().isEmpty(), "One member of three must not lead");
        simulation.recoverAndVerify();
    }

    @Test(dataProvider = "seeds")
    public void pausedLeaderLosesItsLease(long seed) {
        Simulation simulation = start(seed, 3);
        SimMember frozen = leader(simulation);
        simulation.pause(frozen.number, 6_000);
        simulation.run(1_000);
        assertFalse(frozen.holdsLease());
        simulation.commit(3);
        simulation.recoverAndVerify();
    }

    /** A leader that can send but not receive must lose its leadership. */
    @Test(dataProvider = "seeds")
    public void leaderThatCannotReceiveLosesLeadership(long seed) {
        Simulation simulation = start(seed, 3);
        int cutOff = leader(simulation).number;
        for (int other = 0; other < 3; other++) {
            simulation.setBlocked(other, cutOff, true);
        }
        simulation.run(1_500);
        simulation.commit(3);
        assertNotEquals(leader(simulation).number, cutOff);
        simulation.recoverAndVerify();
    }

    /** A follower that received no messages must not cause an election when it is reachable again. */
    @Test(dataProvider = "seeds")
    public void partitionedFollowerDoesNotRaiseTerm(long seed) {
        Simulation simulation = start(seed, 3);
        SimMember first = leader(simulation);
        long term = first.driver.view().status().term();
        int cutOff = follower(simulation);
        for (int other = 0; other < 3; other++) {
            simulation.setBlocked(other, cutOff, true);
        }
        simulation.run(10_000);
        simulation.recoverAndVerify();
        assertEquals(leader(simulation).driver.view().status().term(), term);
    }

    /** All members restart at once after more commands than the interval between two snapshots. */
    @Test(dataProvider = "seeds")
    public void restartOfAllMembersKeepsAllCommands(long seed) {
        Simulation simulation = start(seed, 3);
        simulation.commit(500);
        for (int i = 0; i < 3; i++) {
            simulation.crash(i);
        }
        simulation.run(100);
        simulation.recoverAndVerify();
        assertTrue(simulation.checker().acknowledged() > 500);
    }

    /** A member that was down while the log was compacted must receive the snapshot. */
    @Test(dataProvider = "seeds")
    public void memberBehindCompactedLogReceivesSnapshot(long seed) {
        Simulation simulation = start(seed, 3);
        int victim = follower(simulation);
        simulation.loseDisk(victim);
        simulation.commit(300);
        simulation.recoverAndVerify();
        assertTrue(simulation.member(victim).restoreCount() > 0, "No snapshot was installed");
    }

    @Test(dataProvider = "seeds")
    public void fullDiskOfLeaderRefusesProposalsAndKeepsLease(long seed) {
        Simulation simulation = start(seed, 3);
        SimMember full = leader(simulation);
        full.disk.setFull(true);
        String large = "x".repeat(200_000);
        for (int i = 0; i < 4; i++) {
            full.propose(i + large);
            simulation.run(50);
        }
        assertTrue(simulation.checker().refusals() > 0, "Nothing was refused");
        assertTrue(full.isUp() && full.holdsLease(), "The leader has stopped or lost its lease");
        simulation.recoverAndVerify();
    }

    /** A leader whose disk refuses a write halfway must stop, and all acknowledged commands must remain. */
    @Test(dataProvider = "seeds")
    public void leaderWhoseDiskRefusesWritesIsReplaced(long seed) {
        Simulation simulation = start(seed, 3);
        SimMember full = leader(simulation);
        long generation = full.processGeneration;
        full.disk.setRefusingWrites(true);
        for (int i = 0; i < 4; i++) {
            full.propose("refused" + i);
            simulation.run(50);
        }
        assertTrue(full.processGeneration > generation, "The leader continued after the refused write");
        simulation.commit(3);
        simulation.recoverAndVerify();
    }

    /** A member whose last record is damaged must not count as a voter before it has caught up. */
    @Test(dataProvider = "seeds")
    public void memberWithDamagedLastRecordJoinsUnderNewIncarnation(long seed) {
        Simulation simulation = start(seed, 3);
        SimMember victim = simulation.member(follower(simulation));
        long before = victim.incarnation();
        simulation.crash(victim.number);
        victim.disk.corrupt(victim.disk.lastSegment(), 4);
        simulation.commit(2);
        simulation.recoverAndVerify();
        assertNotEquals(victim.incarnation(), before);
    }

    /** A member that was removed must not count as a voter until it has been admitted again and has caught up. */
    @Test(dataProvider = "seeds")
    public void removedMemberVotesAgainAfterAdmission(long seed) {
        Simulation simulation = start(seed, 5);
        SimMember first = leader(simulation);
        InstanceId victim = simulation.member(follower(simulation)).instance;
        first.input(driver -> driver.remove(victim));
        simulation.run(1_000);
        assertEquals(first.driver.view().status().members().size(), 4);
        simulation.commit(3);
        SimMember second = leader(simulation);
        second.input(driver -> driver.admit(victim));
        simulation.recoverAndVerify();
    }

    /** A leader that shuts down must not leave the group without a leader for an election timeout. */
    @Test(dataProvider = "seeds")
    public void leadershipTransferNeedsNoElectionTimeout(long seed) {
        Simulation simulation = start(seed, 3);
        SimMember first = leader(simulation);
        // Wait until the followers have acknowledged all entries.
        simulation.run(600);
        first.input(MemberDriver::transferLeadership);
        simulation.run(100);
        assertTrue(simulation.leader().isPresent(), "No leader after 100 ms");
        assertNotEquals(simulation.leader().orElseThrow(), first);
        simulation.recoverAndVerify();
    }
}
