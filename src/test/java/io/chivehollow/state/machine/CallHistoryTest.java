package io.chivehollow.state.machine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

import io.chivehollow.coordination.simulation.Seeds;
import io.chivehollow.protocol.wire.CallOutcome;
import io.chivehollow.protocol.wire.CallRecord;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.FinishCall;
import io.chivehollow.state.machine.RecordOptions.RecordSafeguard;
import org.testng.Reporter;
import org.testng.annotations.Test;

/** Checks random histories of non-idempotent calls: lost, late and retried commands, restores and lost gateways. */
public class CallHistoryTest {

    private static final int SEEDS = 1_000;

    /**
     * Guards against a violation of the promise that a non-idempotent call runs at most once, against a call that
     * begins after the retention period of its key, and against a retry that gets another record than the first
     * response.
     */
    @Test
    public void callsRunAtMostOnce() {
        AtomicLong executions = new AtomicLong();
        AtomicLong laterAttempts = new AtomicLong();
        AtomicLong kills = new AtomicLong();
        AtomicLong damagedSegments = new AtomicLong();
        Seeds.check(SEEDS, seed -> {
            History history = new History(seed, true, Set.of());
            Optional<String> violation = history.run();
            executions.addAndGet(history.executions.size());
            laterAttempts.addAndGet(history.commandByAttempt.keySet().stream()
                    .filter(begun -> !begun.endsWith("/1"))
                    .count());
            kills.addAndGet(history.member.killCount());
            damagedSegments.addAndGet(history.member.damagedSegmentsFound());
            return violation;
        });
        Reporter.log(executions + " calls ran, " + laterAttempts + " attempts after the first", true);
        Reporter.log(kills + " kills, " + damagedSegments + " damaged segments found", true);
    }

    /** Guards against a checker that misses a call that runs twice, here after a FinishCall of an earlier attempt. */
    @Test
    public void checkerFindsAFinishCallOfAnEarlierAttempt() {
        Seeds.expectViolation(SEEDS, seed -> new History(seed, false, Set.of()).run());
    }

    /** Guards against a checker that misses records lost by an unsynced segment or by a lookup without segments. */
    @Test
    public void checkerFindsLostRecords() {
        for (RecordSafeguard safeguard : RecordSafeguard.values()) {
            Reporter.log("Without " + safeguard, true);
            Seeds.expectViolation(SEEDS, seed -> new History(seed, true, Set.of(safeguard)).run());
        }
    }

    /** A random history from a seed; every command that was sent may be applied again at any later time. */
    private static final class History {

        private static final int STEPS = 300;
        private static final long START_MS = 1_800_000_000_000L;

        private final SplittableRandom random;
        private final boolean checksAttempts;
        private final List<Command> inFlight = new ArrayList<>();
        private final List<IdempotencyKey> keys = new ArrayList<>();
        private final Map<String, String> commandByAttempt = new HashMap<>();
        private final Map<String, Integer> executions = new HashMap<>();
        private final Map<String, Boolean> commandsWithResponse = new HashMap<>();
        private final Map<String, CallRecord> completed = new HashMap<>();
        private final SimulatedMember member;
        private long nowMs = START_MS;
        private long highestMs = START_MS;
        private long index;
        private int nextId;
        private Optional<String> violation = Optional.empty();

        History(long seed, boolean checksAttempts, Set<RecordSafeguard> disabledSafeguards) {
            this.random = new SplittableRandom(seed);
            this.member = new SimulatedMember(random, disabledSafeguards);
            this.checksAttempts = checksAttempts;
        }

        Optional<String> run() {
            try {
                for (int i = 0; i < STEPS && violation.isEmpty(); i++) {
                    step();
                }
            } catch (AssertionError e) {
                violation = Optional.of(e.getMessage());
            }
            return violation;
        }

        private void step() {
            // Sometimes the time jumps by hours, also backwards, as after a change of the leader.
            nowMs += random.nextInt(40) == 0 ? random.nextLong(-3_600_000, 10 * 3_600_000L) : random.nextLong(5_000);
            highestMs = Math.max(highestMs, nowMs);
            switch (random.nextInt(8)) {
                case 0 -> inFlight.add(Commands.openSession(session(), "gateway-" + random.nextInt(3)));
                case 1 -> {
                    if (random.nextInt(6) == 0) {
                        inFlight.add(Commands.closeSession(session()));
                    }
                }
                case 2, 3, 4 -> inFlight.add(Commands.begin(0, "command-" + nextId++, session(), key(), "body"));
                case 5 -> restartAndInjectFault();
                default -> {
                    // No new event; commands are applied below.
                }
            }
            for (int i = random.nextInt(4); i > 0 && !inFlight.isEmpty(); i--) {
                applyRandomCommand();
            }
        }

        private String session() {
            return "session-" + (nextId / 20 + random.nextInt(2));
        }

        private IdempotencyKey key() {
            if (keys.isEmpty() || random.nextInt(6) == 0) {
                keys.add(IdempotencyKey.create(nowMs, random));
            }
            return keys.get(random.nextInt(keys.size()));
        }

        private void restartAndInjectFault() {
            member.snapshot();
            member.checkRestart();
            switch (random.nextInt(8)) {
                case 0 -> member.kill();
                case 1 -> member.continueOnNewMember();
                case 2 -> member.checkDamage(keys);
                case 3 -> member.disk().setFull(true);
                case 4 -> member.disk().setFull(false);
                default -> member.disk().crashAfter(1 + random.nextInt(30));
            }
        }

        private void applyRandomCommand() {
            int position = random.nextInt(inFlight.size());
            Command command = inFlight.get(position);
            if (random.nextInt(4) != 0) {
                inFlight.remove(position);
            }
            Command timed = (checksAttempts ? command : withoutAttemptCheck(command))
                    .toBuilder().setTimeMs(nowMs).build();
            CommandResult result = member.apply(++index, timed);
            if (timed.hasBeginCall()) {
                onBeginApplied(timed, result);
            }
            // One response in ten is lost.
            boolean isResponseReceived = random.nextInt(10) != 0;
            if (timed.hasBeginCall() && isResponseReceived) {
                onBeginResponse(timed, result);
            }
        }

        /** Changes a FinishCall so that it names the current attempt, as if attempts were not compared. */
        private Command withoutAttemptCheck(Command command) {
            if (!command.hasFinishCall()) {
                return command;
            }
            FinishCall finish = command.getFinishCall();
            int attempt = member.state()
                    .callRecord(finish.getTeam(), finish.getIdempotencyKey())
                    .map(CallRecord::getAttempt)
                    .orElse(finish.getAttempt());
            return command.toBuilder()
                    .setFinishCall(finish.toBuilder().setAttempt(attempt))
                    .build();
        }

        private void onBeginApplied(Command command, CommandResult result) {
            String key = command.getBeginCall().getIdempotencyKey();
            CallRecord record = result.getCall().getRecord();
            if (result.getCall().getBegun()) {
                if (highestMs - new IdempotencyKey(key).creationMs() > CallRecords.RETENTION_MS) {
                    violation = Optional.of("A call began after the retention period of its key " + key);
                }
                String commandId = command.getBeginCall().getCommandId();
                String other = commandByAttempt.putIfAbsent(key + "/" + record.getAttempt(), commandId);
                if (other != null && !other.equals(commandId)) {
                    violation = Optional.of("Two commands began attempt " + record.getAttempt() + " of " + key);
                }
            }
            if (record.getOutcome() == CallOutcome.COMPLETED) {
                CallRecord first = completed.putIfAbsent(key, record);
                if (first != null && !first.equals(record)) {
                    violation = Optional.of("A retry of " + key + " got another record");
                }
            } else if (completed.containsKey(key) && result.getErrorCode().isEmpty()) {
                violation = Optional.of("The completed call " + key + " became " + record.getOutcome());
            }
        }

        /** Acts as the gateway, which uses the first response to each of its commands and sends the call once. */
        private void onBeginResponse(Command command, CommandResult result) {
            String commandId = command.getBeginCall().getCommandId();
            if (commandsWithResponse.putIfAbsent(commandId, true) != null
                    || !result.getCall().getBegun()) {
                return;
            }
            CallRecord record = result.getCall().getRecord();
            IdempotencyKey key = new IdempotencyKey(record.getIdempotencyKey());
            boolean isExecuted = random.nextInt(3) != 0;
            if (isExecuted && executions.merge(key.text(), 1, Integer::sum) > 1) {
                violation = Optional.of("The call " + key + " ran twice");
            }
            CallOutcome outcome = isExecuted ? CallOutcome.COMPLETED : CallOutcome.NOT_RUN;
            switch (random.nextInt(5)) {
                case 0 -> {
                    // The gateway is lost before it records an outcome.
                }
                case 1 -> inFlight.add(Commands.finish(0, key, record.getAttempt(), CallOutcome.UNKNOWN));
                default -> inFlight.add(Commands.finish(0, key, record.getAttempt(), outcome));
            }
        }
    }
}
