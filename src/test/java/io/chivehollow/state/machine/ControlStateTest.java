package io.chivehollow.state.machine;

import java.util.Locale;
import java.util.SplittableRandom;

import io.chivehollow.protocol.wire.CallOutcome;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.NextFencingNumber;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Checks which commands the state machine accepts and refuses, and what they change. */
public class ControlStateTest {

    private static final long NOW_MS = 1_800_000_000_000L;
    private static final IdempotencyKey KEY = IdempotencyKey.create(NOW_MS, new SplittableRandom(1));

    private ControlState state;
    private long index;

    @BeforeMethod
    public void start() {
        state = ControlState.create();
        index = 0;
        assertAccepted(apply(Commands.release("n1", 1, Commands.FIRST_NOTE)));
    }

    private CommandResult apply(Command command) {
        return Commands.apply(state, ++index, command);
    }

    private static void assertAccepted(CommandResult result) {
        assertEquals(result.getErrorCode(), "", result.getFaultsList().toString());
    }

    @Test
    public void takenNumberIsRefusedWithTheAcceptedNoteId() {
        CommandResult second = apply(Commands.rateChange("other", 1, 5));
        assertEquals(second.getErrorCode(), "number_taken");
        assertEquals(second.getRelease().getWinningNoteId(), "n1");
    }

    @Test
    public void retriedNoteGetsItsFirstResultAfterLaterReleases() {
        Command note = Commands.rateChange("n2", 2, 5);
        CommandResult first = apply(note);
        assertAccepted(apply(Commands.rateChange("n3", 3, 7)));
        CommandResult again = apply(note);
        assertEquals(again.getRelease(), first.getRelease());
        assertEquals(state.releasedState().getTeams(0).getRateTokensPerSecond(), 7);
        assertEquals(apply(Commands.rateChange("n2", 2, 6)).getErrorCode(), "release_invalid");
    }

    @Test
    public void numberThatSkipsOneIsRefused() {
        CommandResult result = apply(Commands.rateChange("n3", 3, 5));
        assertEquals(result.getErrorCode(), "release_invalid");
        assertTrue(
                result.getFaults(0).contains("expected 2"),
                result.getFaultsList().toString());
    }

    @DataProvider
    public Object[][] faultyNotes() {
        return new Object[][] {
            {"\"withdrawn\": {\"pools\": [\"book\"]}", "routes \"/bookings\".pool: \"book\": there is no such pool"},
            {"\"withdrawn\": {\"domains\": [\"d1\"]}", "there is no such failure domain"},
            {"\"withdrawn\": {\"models\": [\"m\"]}", "pools \"pre\".models: \"m\": there is no such model"},
            {"\"withdrawn\": {\"teams\": [\"blue\"]}", "withdrawn.teams[0]: \"blue\": there is no such item"},
            {
                "\"added\": {\"teams\": [{\"id\": \"red\", \"rate_tokens_per_second\": 1, \"burst_tokens\": 1}]}",
                "added.teams[0]: \"red\": there is such an item already"
            },
            {
                "\"added\": {\"teams\": [{\"id\": \"b\", \"rate_tokens_per_second\": 0}]}",
                "added.teams[0].burst_tokens: missing"
            },
            {"\"added\": {\"routes\": [{\"path\": \"/v1/x\", \"pool\": \"book\"}]}", "expected a path outside /v1"},
            {"\"added\": {\"routes\": [{\"path\": \"/x\", \"pool\": \"pre\"}]}", "expected a pool with the role plain"},
            {"\"added\": {\"routes\": [{\"path\": \"/x\", \"pool\": \"book\", \"open\": true}]}", "must not be open"},
            {"\"added\": {\"draining\": [\"s9\"]}", "there is no such backend server"},
            {"\"changed\": {\"color\": 1}", "changed.color: 1: expected no such field"},
            {
                "\"changed\": {\"models\": [{\"id\": \"m\", \"context_tokens\": 1, \"default_output_tokens\": 1,"
                        + " \"direct_prompt_tokens\": -1}]}",
                "changed.models[0].direct_prompt_tokens: -1: expected a whole number from 0"
            },
            {"\"changed\": {}", "expected at least one change"},
            {
                "\"added\": {\"pools\": [{\"id\": \"p\", \"role\": \"plain\", \"servers\": [{\"id\": \"s1\","
                        + " \"domain\": \"d1\", \"sidecar_address\": \"127.0.0.1:7101\"}]}]}",
                "has a backend server with this id already"
            },
        };
    }

    @Test(dataProvider = "faultyNotes")
    public void faultyNoteIsRefusedAsAWhole(String members, String fault) {
        byte[] before = state.snapshot();
        CommandResult result = apply(Commands.release("bad", 2, members));
        assertEquals(result.getErrorCode(), "release_invalid");
        assertTrue(
                result.getFaultsList().stream().anyMatch(text -> text.contains(fault)),
                result.getFaultsList().toString());
        assertEquals(state.snapshot(), before);
    }

    @Test
    public void everyFaultIsReported() {
        CommandResult result = apply(Commands.release(
                "bad", 9, "\"withdrawn\": {\"teams\": [\"x\", \"y\"], \"domains\": [\"d1\", \"d2\"]}, \"extra\": 1"));
        assertEquals(result.getFaultsCount(), 6, result.getFaultsList().toString());
    }

    @Test
    public void invalidJsonAndInvalidCommandsAreRefused() {
        Command command = Commands.release("bad", 2, "}{");
        assertEquals(apply(command).getErrorCode(), "release_invalid");
        assertEquals(
                Commands.apply(state, ++index, Command.getDefaultInstance()).getErrorCode(), "invalid_request");
        state.apply(++index, new byte[] {1, 2, 3});
    }

    @Test
    public void withdrawnTeamLosesItsKeys() {
        assertAccepted(apply(Commands.createKey("c1", "k1")));
        assertAccepted(apply(Commands.release("n2", 2, "\"withdrawn\": {\"teams\": [\"red\"]}")));
        assertEquals(state.releasedState().getKeysCount(), 0);
    }

    @Test
    public void retriedCreateKeyDoesNotRestoreAWithdrawnKey() {
        Command create = Commands.createKey("c1", "k1");
        CommandResult first = apply(create);
        assertAccepted(apply(Commands.withdrawKey("c2", "k1")));
        assertEquals(apply(create).getKey(), first.getKey());
        assertEquals(state.releasedState().getKeysCount(), 0);
        assertAccepted(apply(Commands.withdrawKey("c2", "k1")));
        assertEquals(apply(Commands.withdrawKey("c3", "k1")).getErrorCode(), "invalid_request");
    }

    @Test
    public void completedCallIsNotBegunAgainAndItsRecordIsReturned() {
        assertAccepted(apply(Commands.openSession("s", "g")));
        assertTrue(apply(Commands.begin(NOW_MS, "b1", "s", KEY, "x")).getCall().getBegun());
        CommandResult open = apply(Commands.begin(NOW_MS, "b2", "s", KEY, "x"));
        assertFalse(open.getCall().getBegun());
        assertEquals(open.getCall().getRecord().getOutcome(), CallOutcome.OPEN);
        assertEquals(apply(Commands.begin(NOW_MS, "b3", "s", KEY, "y")).getErrorCode(), "idempotency_key_reused");
        assertAccepted(apply(Commands.finish(NOW_MS, KEY, 1, CallOutcome.COMPLETED)));
        CommandResult done = apply(Commands.begin(NOW_MS, "b4", "s", KEY, "x"));
        assertFalse(done.getCall().getBegun());
        assertEquals(done.getCall().getRecord().getOutcome(), CallOutcome.COMPLETED);
    }

    @Test
    public void unknownOutcomeIsReplacedOnlyByAKnownOne() {
        assertAccepted(apply(Commands.openSession("s", "g")));
        apply(Commands.begin(NOW_MS, "b1", "s", KEY, "x"));
        assertAccepted(apply(Commands.closeSession("s")));
        CommandResult retry = apply(Commands.begin(NOW_MS, "b2", "s", KEY, "x"));
        assertFalse(retry.getCall().getBegun());
        assertEquals(retry.getCall().getRecord().getOutcome(), CallOutcome.UNKNOWN);
        apply(Commands.finish(NOW_MS, KEY, 1, CallOutcome.NOT_RUN));
        assertEquals(apply(Commands.begin(NOW_MS, "b3", "s", KEY, "x")).getErrorCode(), "fenced");
        assertAccepted(apply(Commands.openSession("s2", "g")));
        CommandResult second = apply(Commands.begin(NOW_MS, "b4", "s2", KEY, "x"));
        assertTrue(second.getCall().getBegun());
        assertEquals(second.getCall().getRecord().getAttempt(), 2);
        assertEquals(
                apply(Commands.finish(NOW_MS, KEY, 1, CallOutcome.COMPLETED)).getErrorCode(), "fenced");
    }

    @Test
    public void restartedGatewayClosesItsFormerSession() {
        assertAccepted(apply(Commands.openSession("s", "g")));
        apply(Commands.begin(NOW_MS, "b1", "s", KEY, "x"));
        assertAccepted(apply(Commands.openSession("s2", "g")));
        assertEquals(state.callRecord("red", KEY.text()).orElseThrow().getOutcome(), CallOutcome.UNKNOWN);
        assertEquals(apply(Commands.openSession("s", "g")).getErrorCode(), "fenced");
    }

    @DataProvider
    public Object[][] invalidKeys() {
        return new Object[][] {
            {"018f0000-0000-4000-8000-000000000000"},
            {"018f0000-0000-7000-c000-000000000000"},
            {"018f00000000700080000000000000000000"},
            {""},
            {
                IdempotencyKey.create(NOW_MS - CallRecords.RETENTION_MS - 1, new SplittableRandom(2))
                        .text()
            },
            {
                IdempotencyKey.create(NOW_MS + CallRecords.MAX_FUTURE_MS + 1, new SplittableRandom(2))
                        .text()
            },
        };
    }

    @Test(dataProvider = "invalidKeys")
    public void keyOfAnotherVersionOrAgeIsRefused(String text) {
        apply(Commands.openSession("s", "g"));
        CommandResult result = apply(Commands.begin(NOW_MS, "b", "s", new IdempotencyKey(text), "x"));
        assertEquals(result.getErrorCode(), "idempotency_key_invalid");
    }

    /** Guards against a call that runs again after its record was deleted, also if a leader's clock is set back. */
    @Test
    public void keyWhoseRecordWasDeletedStaysRefused() {
        apply(Commands.openSession("s", "g"));
        apply(Commands.begin(NOW_MS, "b1", "s", KEY, "x"));
        long lateMs = NOW_MS + CallRecords.RETENTION_MS + 1;
        apply(Commands.finish(lateMs, KEY, 1, CallOutcome.COMPLETED));
        assertTrue(state.callRecord("red", KEY.text()).isEmpty());
        assertEquals(apply(Commands.begin(NOW_MS, "b2", "s", KEY, "x")).getErrorCode(), "idempotency_key_invalid");
    }

    @Test
    public void upperCaseKeyIsTheSameKey() {
        apply(Commands.openSession("s", "g"));
        apply(Commands.begin(NOW_MS, "b1", "s", KEY, "x"));
        IdempotencyKey upperCase = new IdempotencyKey(KEY.text().toUpperCase(Locale.ROOT));
        assertFalse(apply(Commands.begin(NOW_MS, "b2", "s", upperCase, "x"))
                .getCall()
                .getBegun());
    }

    @Test
    public void fencingNumbersIncreaseAcrossARestore() {
        Command next = Command.newBuilder()
                .setNextFencingNumber(NextFencingNumber.newBuilder().setBackendServer("s1"))
                .build();
        assertEquals(apply(next).getFencing().getFencingNumber(), 1);
        ControlState restored = ControlState.create();
        restored.restore(state.snapshot());
        assertEquals(Commands.apply(restored, ++index, next).getFencing().getFencingNumber(), 2);
    }
}
