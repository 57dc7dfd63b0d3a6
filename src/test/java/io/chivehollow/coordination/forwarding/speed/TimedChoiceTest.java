package io.chivehollow.coordination.forwarding.speed;

import java.util.List;
import java.util.Random;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against requests that all go to one server, and against requests at slow ones. */
public class TimedChoiceTest {

    private final Random random = new Random(1);

    private double share(List<Double> timesMs, double timeMs) {
        int chosen = 0;
        for (int i = 0; i < 1_000; i++) {
            chosen += TimedChoice.choose(timesMs, time -> time, random).orElseThrow() == timeMs ? 1 : 0;
        }
        return chosen / 1_000.0;
    }

    @Test
    public void nearlyEqualServersShareTheRequests() {
        assertEquals(share(List.of(20.0, 22.0, 23.9, 25.0), 23.9), 1.0 / 3, 0.06);
        assertEquals(share(List.of(20.0, 22.0, 23.9, 25.0), 25.0), 0.0);
    }

    @Test
    public void serverWithTheShortestTimeIsChosenWhereverItStands() {
        assertEquals(share(List.of(50.0, 10.0, 50.0), 10.0), 1.0);
        assertEquals(share(List.of(50.0, 50.0, 10.0), 10.0), 1.0);
        assertEquals(share(List.of(0.0, 10.0), 0.0), 1.0);
    }

    @Test
    public void serversOfUnknownTimeAreChosenIfThereAreNoOthers() {
        assertTrue(TimedChoice.choose(List.of(Double.POSITIVE_INFINITY), time -> time, random)
                .isPresent());
        assertFalse(TimedChoice.choose(List.<Double>of(), time -> time, random).isPresent());
    }

    @Test
    public void requestsInFrontCountWithTheirShareOfTheSlots() {
        assertEquals(ExpectedTime.ms(20, 1, 0, 6), 20.0);
        assertEquals(ExpectedTime.ms(20, 1, 6, 6), 40.0);
        assertEquals(ExpectedTime.ms(20, 2.5, 3, 6), 75.0);
        assertEquals(ExpectedTime.ms(20, 1, 1, 0), 40.0);
        assertEquals(ExpectedTime.queueFactor(5, 6), 1.0);
        assertEquals(ExpectedTime.queueFactor(11, 6), 2.0);
    }
}
