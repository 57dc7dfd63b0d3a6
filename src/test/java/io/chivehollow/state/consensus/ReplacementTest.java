package io.chivehollow.state.consensus;

import java.util.ArrayList;
import java.util.List;

import io.chivehollow.base.InstanceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a group of three that stops, or loses its data, when one instance has been replaced and another one is
 * lost.
 */
public class ReplacementTest {

    private static final int SEEDS = 20;

    /** Time for which a new instance still counts as lost; it is a voter by then. */
    private static final int CATCH_UP_MS = 4_000;

    private static final int FREEZE_MS = 8_000;

    /** Number of the instance that replaces another one. */
    private static final int SUCCESSOR = 3;

    /** How the second instance is lost. */
    private enum Loss {
        KILLED,
        FROZEN,
        /** Killed, and restarted with an empty disk. */
        WIPED
    }

    /** Which of the two lost instances leads when the first one is lost. */
    private enum Leader {
        REPLACED,
        LOST,
        OTHER
    }

    @DataProvider
    public Object[][] losses() {
        List<Object[]> rows = new ArrayList<>();
        for (Loss loss : Loss.values()) {
            for (Leader leader : Leader.values()) {
                for (long seed = 1; seed <= SEEDS; seed++) {
                    rows.add(new Object[] {loss, leader, seed});
                }
            }
        }
        return rows.toArray(Object[][]::new);
    }

    @DataProvider
    public Object[][] seeds() {
        Object[][] rows = new Object[SEEDS][];
        for (int i = 0; i < rows.length; i++) {
            rows[i] = new Object[] {(long) i + 1};
        }
        return rows;
    }

    /** A replaced instance that was killed must be out of the group before the next one is lost. */
    @Test(dataProvider = "losses")
    public void groupServesWhenAnotherIsLostAfterAnUnplannedReplacement(Loss loss, Leader leader, long seed) {
        Group group = new Group(seed, leader);
        group.simulation.crash(group.replaced);
        group.startSuccessor();
        group.simulation.run(CATCH_UP_MS);
        group.lose(loss);
        group.checkServesWithoutLost();
        group.returnAndVerify(loss);
    }

    /** The same if the successor was started before, and the next one is lost four seconds after the replaced one. */
    @Test(dataProvider = "losses")
    public void groupServesWhenAnotherIsLostShortlyAfterARemoval(Loss loss, Leader leader, long seed) {
        Group group = Group.withSuccessor(seed, leader);
        group.simulation.crash(group.replaced);
        group.simulation.run(CATCH_UP_MS);
        group.lose(loss);
        group.checkServesWithoutLost();
        group.returnAndVerify(loss);
    }

    /** A replaced instance that stops on request must have left the group before it ends. */
    @Test(dataProvider = "losses")
    public void groupServesWhenAnotherIsLostRightAfterAPlannedRemoval(Loss loss, Leader leader, long seed) {
        Group group = Group.withSuccessor(seed, leader);
        group.simulation.stop(group.replaced);
        group.electAgain(leader == Leader.REPLACED ? Leader.OTHER : leader);
        group.lose(loss);
        group.checkServesWithoutLost();
        group.returnAndVerify(loss);
    }

    /** An instance that stops without a replacement must remain a voter, and must not wait long before it ends. */
    @Test(dataProvider = "seeds")
    public void stoppingInstanceWithoutReplacementRemainsVoter(long seed) {
        for (Leader leader : Leader.values()) {
            Group group = new Group(seed, leader);
            long start = group.simulation.now();
            group.simulation.stop(group.lost);
            assertTrue(group.simulation.now() - start < 1_000_000_000L, "The instance waited for a second");
            group.simulation.commit(3);
            assertEquals(group.voters().size(), 3);
            group.simulation.start(group.simulation.member(group.lost));
            group.simulation.run(CATCH_UP_MS);
            group.startSuccessor();
            group.simulation.recoverAndVerify();
        }
    }

    /** A leader that stops must not hand over to a voter that is about to stop, too. */
    @Test(dataProvider = "seeds")
    public void leadershipIsHandedToAVoterThatRemains(long seed) {
        Group group = new Group(seed, Leader.OTHER);
        int leader = group.awaitLeader().number;
        int stopping = (leader + 1 + (int) (seed % 2)) % 3;
        group.simulation.member(stopping).leave();
        group.simulation.run(500);
        group.simulation.member(leader).input(MemberDriver::transferLeadership);
        group.simulation.run(500);
        assertEquals(group.awaitLeader().number, 3 - leader - stopping);
    }

    /** All members that stop at once must still be able to form a quorum when they return. */
    @Test(dataProvider = "seeds")
    public void groupReturnsAfterAllMembersHaveStopped(long seed) {
        Group group = new Group(seed, Leader.OTHER);
        group.startSuccessor();
        group.simulation.run(CATCH_UP_MS);
        for (int round = 0; round < 200; round++) {
            group.simulation.members().stream()
                    .filter(member -> member.isUp() && !member.hasLeft())
                    .forEach(SimMember::leave);
            group.simulation.run(10);
        }
        group.simulation.members().forEach(member -> group.simulation.crash(member.number));
        group.simulation.recoverAndVerify();
    }

    /** If both are lost at once and the leader is not one of them, it must go on with the remaining voter. */
    @Test(dataProvider = "seeds")
    public void leaderGoesOnWhenTwoOfFourVotersAreLostAtOnce(long seed) {
        for (Loss loss : Loss.values()) {
            Group group = Group.withSuccessor(seed, Leader.OTHER);
            group.simulation.crash(group.replaced);
            group.lose(loss);
            group.checkServesWithoutLost();
            group.returnAndVerify(loss);
        }
    }

    /**
     * If the leader is one of two that are lost at once, nobody can be elected until one of them returns; one that
     * returns with an empty disk must do, although only a leader can admit it.
     */
    @Test(dataProvider = "losses")
    public void groupReturnsWhenTwoOfFourVotersAreLostAtOnce(Loss loss, Leader leader, long seed) {
        Group group = Group.withSuccessor(seed, leader);
        group.simulation.crash(group.replaced);
        group.lose(loss);
        group.simulation.run(1_500);
        group.returnAndVerify(loss);
    }

    /** The same if all other members lose power at that moment. */
    @Test(dataProvider = "losses")
    public void groupReturnsWhenTheOthersAreRestarted(Loss loss, Leader leader, long seed) {
        Group group = Group.withSuccessor(seed, leader);
        group.simulation.crash(group.replaced);
        group.lose(loss);
        group.simulation.crash(group.other);
        group.simulation.crash(SUCCESSOR);
        group.simulation.run(1_500);
        group.simulation.start(group.simulation.member(group.other));
        group.simulation.start(group.simulation.member(SUCCESSOR));
        group.returnAndVerify(loss);
    }

    /** A group of three initial instances and the successor of one of them. */
    private static final class Group {

        private final Simulation simulation;
        private final int replaced;
        private final int lost;
        private final int other;

        Group(long seed, Leader leader) {
            simulation = Simulation.withAutomaticMembership(seed, 3, SUCCESSOR + 1);
            simulation.commit(10);
            int leading = awaitLeader().number;
            int first = (leading + 1) % 3;
            int second = (leading + 2) % 3;
            replaced = leader == Leader.REPLACED ? leading : first;
            lost = leader == Leader.LOST ? leading : leader == Leader.REPLACED ? first : second;
            other = 3 - replaced - lost;
        }

        /** Returns a group in which the successor votes and the given instance leads. */
        static Group withSuccessor(long seed, Leader leader) {
            Group group = new Group(seed, leader);
            group.startSuccessor();
            group.simulation.run(CATCH_UP_MS);
            group.electAgain(leader);
            return group;
        }

        private SimMember awaitLeader() {
            for (int i = 0; simulation.leader().isEmpty(); i++) {
                assertTrue(i < 200, "No leader");
                simulation.run(50);
            }
            return simulation.leader().orElseThrow();
        }

        void startSuccessor() {
            simulation.start(simulation.member(SUCCESSOR));
        }

        /** Transfers the leadership until the leader is the required one; it may have changed since the start. */
        void electAgain(Leader required) {
            int number =
                    switch (required) {
                        case REPLACED -> replaced;
                        case LOST -> lost;
                        case OTHER -> other;
                    };
            for (int i = 0; awaitLeader().number != number; i++) {
                assertTrue(i < 100, "Instance " + number + " is not elected");
                awaitLeader().input(MemberDriver::transferLeadership);
                simulation.run(300);
            }
        }

        void lose(Loss loss) {
            switch (loss) {
                case KILLED -> simulation.crash(lost);
                case FROZEN -> simulation.pause(lost, FREEZE_MS);
                case WIPED -> simulation.loseDisk(lost);
                default -> throw new IllegalArgumentException(loss.toString());
            }
        }

        /** Checks that the group accepts commands with the two instances that are left. */
        void checkServesWithoutLost() {
            long deadline = simulation.now() + 6_000_000_000L;
            simulation.commit(3);
            assertTrue(simulation.now() < deadline, "No service without the lost instance");
            List<InstanceId> voters = voters();
            assertTrue(voters.contains(simulation.member(SUCCESSOR).instance), voters.toString());
            assertTrue(voters.contains(simulation.member(other).instance), voters.toString());
        }

        private List<InstanceId> voters() {
            return awaitLeader().driver.view().status().members().stream()
                    .filter(ReplicatedLog.MemberStatus::isVoter)
                    .map(ReplicatedLog.MemberStatus::instance)
                    .toList();
        }

        /** Returns the lost instance and checks that it votes again, in place of the replaced one. */
        void returnAndVerify(Loss loss) {
            if (loss == Loss.FROZEN) {
                simulation.run(FREEZE_MS);
            } else {
                simulation.start(simulation.member(lost));
            }
            simulation.run(CATCH_UP_MS);
            simulation.commit(3);
            simulation.run(2_000);
            List<InstanceId> voters = voters();
            assertEquals(voters.size(), 3, voters.toString());
            assertFalse(voters.contains(simulation.member(replaced).instance), voters.toString());
            assertTrue(voters.contains(simulation.member(lost).instance), voters.toString());
            // All acknowledged commands are at each of the three.
            simulation.start(simulation.member(replaced));
            simulation.recoverAndVerify();
        }
    }
}
