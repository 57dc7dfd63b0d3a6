package io.chivehollow.coordination.crash;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.chivehollow.protocol.wire.PromptCrash;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/** Guards against prompts that go on crashing servers, and against sound prompts that are refused for them. */
public class CrashLedgerTest {

    private static final List<String> SOUND = List.of("first", "own");

    private long nowNanos = 1;
    private CrashLedger ledger;
    private CrashLedger other;

    @BeforeMethod
    public void create() {
        nowNanos = 1;
        ledger = CrashLedger.create("one", () -> nowNanos);
        other = CrashLedger.create("two", () -> nowNanos);
    }

    private void pass(long timeMs) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(timeMs);
    }

    private static void crash(CrashLedger ledger, int first, int servers) {
        for (int i = first; i < first + servers; i++) {
            ledger.add("server" + i, List.of("first", "dead", "own" + i));
        }
    }

    @Test
    public void promptsWithTheCommonPartsOfThreeCrashesAreBlocked() {
        crash(ledger, 0, 2);
        assertFalse(ledger.isBlocked(List.of("first", "dead", "new")));
        crash(ledger, 2, 1);
        assertTrue(ledger.isBlocked(List.of("first", "dead", "new")));
        assertFalse(ledger.isBlocked(SOUND));
        assertFalse(ledger.isBlocked(List.of()));
    }

    @Test
    public void severalPromptsAtOneCrashedServerDoNotBlockAPart() {
        for (int i = 0; i < 5; i++) {
            ledger.add("server", List.of("first", "own" + i));
        }
        assertFalse(ledger.isBlocked(SOUND));
    }

    @Test
    public void promptsThatShareNoPartAreNotBlocked() {
        for (int i = 0; i < 10; i++) {
            ledger.add("server" + i, List.of("first" + i, "own" + i));
        }
        assertFalse(ledger.isBlocked(List.of("first3", "own3")));
    }

    @Test
    public void partOfItsOwnIsNeverSuspect() {
        for (int i = 0; i < 5; i++) {
            ledger.add("server" + i, List.of("own"));
        }
        assertFalse(ledger.isBlocked(List.of("own")));
    }

    /** Once an answer with the first part has begun, only the other part is left, whatever it is combined with. */
    @Test
    public void begunAnswerClearsItsPartsOnly() {
        crash(ledger, 0, 3);
        assertFalse(ledger.isBlocked(List.of("second", "dead", "new")));
        ledger.onAnswerBegun(SOUND);
        assertTrue(ledger.isBlocked(List.of("second", "dead", "new")));
        ledger.onAnswerBegun(List.of("dead", "own"));
        assertFalse(ledger.isBlocked(List.of("first", "dead", "new")));
    }

    /** A server that ends for another reason takes a sound prompt with it, whose part others have beside the cause. */
    @Test
    public void unrelatedCrashDoesNotWidenTheBlockedPrompts() {
        crash(ledger, 0, 3);
        ledger.add("server0", SOUND);
        assertTrue(ledger.isBlocked(List.of("first", "dead", "new")));
        assertFalse(ledger.isBlocked(SOUND));
    }

    @Test
    public void twoPartsThatCrashServersAreBothBlocked() {
        crash(ledger, 0, 4);
        for (int i = 0; i < 3; i++) {
            ledger.add("late" + i, List.of("first" + i, "bad", "own" + i));
        }
        assertTrue(ledger.isBlocked(List.of("first", "dead", "new")));
        assertTrue(ledger.isBlocked(List.of("other", "bad", "new")));
    }

    @Test
    public void crashesSeenByDifferentProcessesAddUp() {
        crash(ledger, 0, 2);
        crash(other, 2, 1);
        other.merge(ledger.toMessages());
        ledger.merge(other.toMessages());
        assertEquals(ledger.digest(), other.digest());
        assertTrue(ledger.isBlocked(List.of("first", "dead", "new")));
        assertTrue(other.isBlocked(List.of("first", "dead", "new")));
    }

    @Test
    public void clearedPartStaysClearedAfterAMergeWithAnOlderCopy() {
        crash(ledger, 0, 3);
        other.merge(ledger.toMessages());
        ledger.onAnswerBegun(List.of("dead", "own"));
        assertNotEquals(ledger.digest(), other.digest());
        ledger.merge(other.toMessages());
        assertFalse(ledger.isBlocked(List.of("second", "dead", "new")));
        other.merge(ledger.toMessages());
        assertEquals(ledger.digest(), other.digest());
    }

    @Test
    public void onlyTheWitnessOfTheLastCrashTriesAgainAndOnlyAfterThePause() {
        List<String> prompt = List.of("first", "dead", "new");
        crash(ledger, 0, 3);
        other.merge(ledger.toMessages());
        assertFalse(ledger.startTrial(prompt));
        pass(31_000);
        assertFalse(other.startTrial(prompt));
        assertTrue(ledger.startTrial(prompt));
        assertFalse(ledger.startTrial(prompt));
        crash(ledger, 3, 1);
        pass(31_000);
        assertFalse(ledger.startTrial(prompt), "the pause doubles");
        pass(31_000);
        assertTrue(ledger.startTrial(prompt));
    }

    @Test
    public void crashesAreForgottenAfterTenMinutes() {
        crash(ledger, 0, 3);
        pass(9 * 60_000);
        assertTrue(ledger.isBlocked(List.of("first", "dead", "new")));
        pass(60_001);
        assertFalse(ledger.isBlocked(List.of("first", "dead", "new")));
        assertTrue(ledger.toMessages().isEmpty());
    }

    @Test
    public void numberOfCrashesIsLimited() {
        for (int i = 0; i < 1_000; i++) {
            ledger.add("server" + i, List.of("first" + i, "own" + i));
        }
        assertEquals(ledger.toMessages().size(), 64);
    }

    @Test
    public void soundPromptsAtEachCrashedServerDoNotBlockTheirCommonPart() {
        for (int i = 0; i < 4; i++) {
            ledger.add("server" + i, List.of("first", "dead", "own" + i));
            ledger.add("server" + i, List.of("first", "sound" + i));
        }
        assertTrue(ledger.isBlocked(List.of("first", "dead", "new")));
        assertFalse(ledger.isBlocked(SOUND));
    }

    /** The ids have the same hash code, so that the order in a hash map is that of their insertion. */
    @Test
    public void ledgersWithTheSameCrashesBlockTheSamePrompts() {
        String[] ids = {"Aa", "BB"};
        for (String part : ids) {
            for (int i = 0; i < 2; i++) {
                ledger.add(part + i, List.of(part, "own" + i));
            }
        }
        ledger.add("both", List.of("Aa", "BB", "own"));
        List<PromptCrash> messages = new ArrayList<>(ledger.toMessages());
        Collections.rotate(messages, 3);
        other.merge(messages);
        assertEquals(ledger.digest(), other.digest());
        for (String part : ids) {
            assertEquals(ledger.isBlocked(List.of(part, "new")), other.isBlocked(List.of(part, "new")), "part " + part);
        }
    }

    /** Another process learns of a crash up to a second later, and may have begun answers in between. */
    @Test
    public void answerBegunBeforeTheCrashIsKnownClearsItsParts() {
        for (int i = 0; i < 3; i++) {
            ledger.add("server" + i, List.of("first", "own" + i));
        }
        pass(10);
        other.onAnswerBegun(SOUND);
        pass(500);
        other.merge(ledger.toMessages());
        assertFalse(other.isBlocked(SOUND));
        ledger.merge(other.toMessages());
        assertFalse(ledger.isBlocked(SOUND));
    }

    @Test
    public void answerBegunBeforeTheCrashClearsNothing() {
        other.onAnswerBegun(SOUND);
        pass(10);
        for (int i = 0; i < 3; i++) {
            ledger.add("server" + i, List.of("first", "own" + i));
        }
        other.merge(ledger.toMessages());
        assertTrue(other.isBlocked(SOUND));
    }

    @Test
    public void unrelatedCrashOfAFurtherServerDoesNotWidenTheBlockedPrompts() {
        crash(ledger, 0, 3);
        ledger.add("other", SOUND);
        assertTrue(ledger.isBlocked(List.of("first", "dead", "new")));
        assertFalse(ledger.isBlocked(SOUND));
    }

    @Test
    public void secondCrashWithoutAPartExcludesThatPartAsTheCause() {
        crash(ledger, 0, 3);
        ledger.add("server3", List.of("other", "dead", "own3"));
        ledger.add("server4", List.of("other", "dead", "own4"));
        assertTrue(ledger.isBlocked(List.of("new", "dead", "own")));
    }
}
