package io.chivehollow.state.consensus;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;

import io.chivehollow.state.machine.ControlState;
import io.chivehollow.state.machine.SmallSegments;

/** Runs a simulated group under proposals and random faults that a correct group survives. */
final class RandomFaults {

    private static final int STEPS = 60;

    private final Simulation simulation;
    private final Random random;
    private final int size;
    private int pendingLosses;

    private RandomFaults(long seed, Set<ConsensusSafeguard> disabledSafeguards, Supplier<ControlState> states) {
        this.size = seed % 3 == 0 ? 5 : 3;
        this.simulation = new Simulation(seed, size, disabledSafeguards, states);
        this.random = simulation.random();
    }

    /** Runs one seed; throws if the checker finds a violation or the group does not recover. */
    static void run(long seed, Set<ConsensusSafeguard> disabledSafeguards) {
        run(seed, disabledSafeguards, SmallSegments::create);
    }

    /** Runs one seed with state machines from the given source. */
    static void run(long seed, Set<ConsensusSafeguard> disabledSafeguards, Supplier<ControlState> states) {
        RandomFaults faults = new RandomFaults(seed, disabledSafeguards, states);
        faults.simulation.run(2_500);
        for (int i = 0; i < STEPS; i++) {
            faults.step();
        }
        faults.simulation.recoverAndVerify();
    }

    private void step() {
        for (int i = random.nextInt(5); i > 0; i--) {
            SimMember any = simulation.member(random.nextInt(size));
            simulation.propose(
                    random.nextInt(4) == 0 ? any : simulation.leader().orElse(any));
            simulation.run(random.nextInt(30));
        }
        int victim = random.nextInt(3) == 0 ? leaderNumber() : random.nextInt(size);
        switch (random.nextInt(20)) {
            case 0, 1 -> crash(victim);
            case 2 -> simulation.pause(victim, random.nextInt(2_500));
            case 3, 4 -> simulation.setBlocked(victim, random.nextInt(size), true);
            case 5 -> {
                int other = random.nextInt(size);
                simulation.setBlocked(victim, other, true);
                simulation.setBlocked(other, victim, true);
            }
            case 6, 7, 15, 16 -> simulation.clearFaults();
            case 8 -> simulation.setNetwork(random.nextDouble() * 0.1, random.nextDouble() * 0.05);
            case 9 -> simulation.member(victim).disk.setFull(true);
            case 10 -> simulation.member(victim).disk.setSyncFailing(true);
            case 11, 12 -> {
                simulation.member(victim).disk.crashAfter(1 + random.nextInt(12));
                simulation.scheduleAfter(1_500_000_000L, () -> simulation.start(simulation.member(victim)));
            }
            case 13, 14 -> loseDiskOrRecord(victim);
            case 17 -> simulation.leader().ifPresent(leader -> leader.input(MemberDriver::transferLeadership));
            default -> {
                // No new fault.
            }
        }
        simulation.run(random.nextInt(500));
    }

    private int leaderNumber() {
        return simulation.leader().map(leader -> leader.number).orElse(random.nextInt(size));
    }

    private void crash(int victim) {
        simulation.crash(victim);
        long delay = random.nextInt(3) == 0 ? 0 : random.nextLong(3_000_000_000L);
        simulation.scheduleAfter(delay, () -> simulation.start(simulation.member(victim)));
    }

    /**
     * Loses a member's disk, its last log record or a segment of idempotency records. Never affects a majority of the
     * members before the group has recovered.
     */
    private void loseDiskOrRecord(int victim) {
        if (simulation.allInstancesVote()) {
            pendingLosses = 0;
        }
        if (pendingLosses >= (size - 1) / 2) {
            return;
        }
        pendingLosses++;
        SimMember member = simulation.member(victim);
        simulation.crash(victim);
        List<String> records = member.disk.names().stream()
                .filter(name -> name.startsWith("records-"))
                .toList();
        if (!records.isEmpty() && random.nextInt(3) == 0) {
            damage(member, records.get(random.nextInt(records.size())));
            simulation.scheduleAfter(random.nextLong(1_000_000_000L), () -> simulation.start(member));
            return;
        }
        String segment = member.disk.lastSegment();
        if (segment != null && random.nextInt(3) == 0) {
            member.disk.corrupt(segment, 1 + random.nextInt(15));
        } else {
            simulation.loseDisk(victim);
        }
        simulation.scheduleAfter(random.nextLong(1_000_000_000L), () -> simulation.start(member));
    }

    /** Loses a segment of records, or damages its index block, which the next start reads. */
    private void damage(SimMember member, String segment) {
        member.hasDamagedRecords = true;
        if (random.nextBoolean()) {
            member.disk.remove(segment);
        } else {
            member.disk.corrupt(segment, random.nextInt(15));
        }
    }
}
