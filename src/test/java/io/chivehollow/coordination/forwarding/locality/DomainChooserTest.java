package io.chivehollow.coordination.forwarding.locality;

import java.util.List;
import java.util.Random;

import io.chivehollow.base.FailureDomain;
import io.chivehollow.coordination.forwarding.locality.DomainChooser.Choice;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against requests that leave for nothing, and against requests that stay where they miss their target. */
public class DomainChooserTest {

    private static final FailureDomain HOME = FailureDomain.of("home");
    private static final FailureDomain NEAR = FailureDomain.of("near");
    private static final FailureDomain FAR = FailureDomain.of("far");
    private static final long MS = 1_000_000;
    private static final double TARGET_MS = 900;
    private static final double FULL = Double.POSITIVE_INFINITY;
    private static final long BYTES = 10_000;

    private long nowNanos = -77 * MS;
    private DomainLinks links = new DomainLinks(HOME);
    private ByteBudget budget = new ByteBudget(0);
    private DomainChooser chooser = chooser();

    @BeforeMethod
    public void start() {
        links = new DomainLinks(HOME);
        budget = new ByteBudget(0);
        chooser = chooser();
        hear(NEAR);
        hear(FAR);
    }

    private DomainChooser chooser() {
        return new DomainChooser(HOME, links, new LeavingCost(HOME, links, budget, 0));
    }

    private void hear(FailureDomain domain) {
        links.onHeard(domain, nowNanos);
    }

    private Choice choose(DomainOption... options) {
        return chooser.choose("s", List.of(options), TARGET_MS, BYTES, false, nowNanos)
                .orElseThrow();
    }

    private static DomainOption option(FailureDomain domain, double waitMs) {
        return new DomainOption(domain, waitMs);
    }

    /** Property: whatever the waits, a domain that is as good as another one keeps its requests. */
    @Test
    public void ownDomainIsPreferredWhenItIsAsGood() {
        for (int seed = 0; seed < 500; seed++) {
            Random random = new Random(seed);
            start();
            for (int i = 0; i < 20; i++) {
                nowNanos += random.nextInt(100) * MS;
                hear(NEAR);
                double ownMs = random.nextInt(2_000);
                Choice choice = choose(
                        option(HOME, ownMs),
                        option(NEAR, ownMs + random.nextInt(100)),
                        option(FAR, random.nextBoolean() ? FULL : ownMs + random.nextInt(1_000)));
                assertEquals(choice.domain(), HOME, "seed " + seed);
            }
        }
    }

    /** Property: a request that misses its target at home and meets it elsewhere leaves. */
    @Test
    public void lateRequestLeavesForADomainThatIsInTime() {
        for (int seed = 0; seed < 500; seed++) {
            Random random = new Random(seed);
            start();
            double limitMs = TARGET_MS * DomainChooser.MAX_WAIT_TARGET_SHARE;
            double margin = TARGET_MS * DomainChooser.MIN_GAIN_TARGET_SHARE;
            Choice choice = choose(
                    option(HOME, limitMs + 1 + random.nextInt(1_000)),
                    option(NEAR, random.nextDouble() * (limitMs - margin - DomainLinks.DEFAULT_DELAY_MS)),
                    option(FAR, limitMs + random.nextInt(1_000)));
            assertEquals(choice.domain(), NEAR, "seed " + seed);
            assertEquals(choice.reason(), LeaveReason.HOME_SLOW);
        }
    }

    @Test
    public void fullOrMissingHomeIsLeft() {
        assertEquals(
                choose(option(HOME, FULL), option(NEAR, 50), option(FAR, 20)).domain(), FAR);
        assertEquals(choose(option(HOME, FULL), option(NEAR, 50)).reason(), LeaveReason.HOME_FULL);
        assertEquals(choose(option(HOME, FULL), option(NEAR, FULL)).domain(), HOME);
        assertEquals(choose(option(NEAR, 50)).reason(), LeaveReason.NO_HOME_SERVER);
        assertEquals(
                chooser.choose("s", List.of(option(NEAR, 50)), TARGET_MS, BYTES, true, nowNanos)
                        .orElseThrow()
                        .reason(),
                LeaveReason.HOME_OUT_OF_SERVICE);
        assertTrue(chooser.choose("s", List.of(), TARGET_MS, BYTES, false, nowNanos)
                .isEmpty());
    }

    /** A gain that is paid for by the longer path is none. */
    @Test
    public void slowPathKeepsRequestsAtHome() {
        links.onConnected(HOME, 1, nowNanos);
        links.onConnected(NEAR, 3.8, nowNanos);
        links.onConnected(FAR, 400, nowNanos);
        assertEquals(choose(option(HOME, 350), option(NEAR, 20), option(FAR, 0)).domain(), NEAR);
        assertEquals(choose(option(HOME, 350), option(FAR, 0)).domain(), HOME);
    }

    /**
     * Failure: all servers of a domain stop responding. The failures of two of them are enough to keep further requests
     * away, apart from one trial at a time, until a server responds.
     */
    @Test
    public void domainThatIsCutOffGetsOneTrialAtATime() {
        links.onFailure(NEAR, "a", nowNanos);
        assertEquals(choose(option(HOME, 400), option(NEAR, 0)).domain(), NEAR, "one server may have crashed");
        links.onFailure(NEAR, "b", nowNanos);
        int trials = 0;
        for (int ms = 0; ms < 9_900; ms += 10) {
            nowNanos += 10 * MS;
            Choice choice = choose(option(HOME, FULL), option(NEAR, 0));
            if (choice.domain().equals(NEAR)) {
                trials++;
                links.onFailure(NEAR, "a", nowNanos);
            } else {
                assertEquals(choice.obstacle(), Obstacle.CUT_OFF);
            }
        }
        assertEquals(trials, 4);
        hear(NEAR);
        assertEquals(choose(option(HOME, FULL), option(NEAR, 0)).domain(), NEAR);
        assertEquals(choose(option(HOME, FULL), option(NEAR, 0)).domain(), NEAR);
    }

    /** A domain that is cut off is still better than none. */
    @Test
    public void domainThatIsCutOffIsUsedIfThereIsNoOther() {
        links.onFailure(NEAR, "a", nowNanos);
        links.onFailure(NEAR, "b", nowNanos);
        assertEquals(choose(option(NEAR, 0)).domain(), NEAR);
        assertEquals(choose(option(NEAR, 0), option(FAR, 500)).domain(), FAR);
    }

    /** Failure: an idle domain is one from which nothing was heard. Its short waits may be those of an earlier time. */
    @Test
    public void oldFiguresAllowOneTrialUntilTheyAreConfirmed() {
        nowNanos += DomainLinks.HEARD_VALID_NANOS + MS;
        assertEquals(choose(option(HOME, 400), option(NEAR, 0)).domain(), NEAR);
        assertEquals(choose(option(HOME, 400), option(NEAR, 0)).obstacle(), Obstacle.OLD_FIGURES);
        assertEquals(choose(option(HOME, FULL), option(NEAR, 0)).domain(), NEAR, "home has nothing");
        hear(NEAR);
        assertEquals(choose(option(HOME, 400), option(NEAR, 0)).domain(), NEAR);
        assertEquals(choose(option(HOME, 400), option(NEAR, 0)).domain(), NEAR);
    }

    /** Bytes may leave up to the rate, one second's burst and what the last request exceeds it by. */
    @Test
    public void byteBudgetHolds() {
        budget = new ByteBudget(100_000);
        chooser = chooser();
        Random random = new Random(5);
        long bytes = 0;
        long largest = 0;
        int heldBack = 0;
        for (int ms = 0; ms < 20_000; ms += 5) {
            nowNanos += 5 * MS;
            hear(NEAR);
            Choice choice = choose(option(HOME, FULL), option(NEAR, 0));
            if (choice.domain().equals(NEAR)) {
                long size = BYTES / 2 + random.nextInt((int) BYTES * 2);
                budget.onBytes(size, nowNanos);
                bytes += size;
                largest = Math.max(largest, size);
            } else {
                assertEquals(choice.obstacle(), Obstacle.BUDGET_EXHAUSTED);
                heldBack++;
            }
            assertTrue(bytes <= 100_000 * (1 + (ms + 5) / 1_000.0) + largest, bytes + " bytes after " + ms + " ms");
        }
        assertTrue(bytes >= 100_000 * 20 * 0.95, bytes + " bytes");
        assertTrue(heldBack > 0);
    }

    /** The share moves by bounded steps, and the requests that leave are spread evenly. */
    @Test
    public void shareMovesByBoundedSteps() {
        LeavingShare share = new LeavingShare();
        double previous = 0;
        Random random = new Random(3);
        for (int i = 0; i < 1_000; i++) {
            nowNanos += 20 * MS;
            share.moveTowards(random.nextDouble(), nowNanos);
            double step = Math.abs(share.value() - previous);
            assertTrue(step <= LeavingShare.MAX_CHANGE_PER_S * 0.02 + 1e-9, "step " + step);
            previous = share.value();
        }
        LeavingShare fixed = new LeavingShare();
        for (int i = 0; i < 50; i++) {
            nowNanos += 20 * MS;
            fixed.moveTowards(0.25, nowNanos);
        }
        int left = 0;
        for (int i = 0; i < 100; i++) {
            left += fixed.takeNext() ? 1 : 0;
        }
        assertTrue(Math.abs(left - 25) <= 6, left + " of 100 requests");
    }
}
