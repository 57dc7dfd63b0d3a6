package io.chivehollow.protocol.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/** Guards against a stream of a backend server that fills the memory of the process. */
public class EventStreamParserTest {

    private static final int TOO_MANY_BYTES = 4 << 20;

    @DataProvider
    public Object[][] endlessEvents() {
        return new Object[][] {{"data: some text\n"}, {"data:xy\n"}, {"data: no end of line"}};
    }

    @Test(dataProvider = "endlessEvents")
    public void eventWithoutEndIsNotCollectedWithoutLimit(String repeated) {
        EventStreamParser parser = new EventStreamParser();
        byte[] part = repeated.repeat(1_000).getBytes(StandardCharsets.UTF_8);
        assertThrows(EngineException.class, () -> {
            for (int sent = 0; sent < TOO_MANY_BYTES; sent += part.length) {
                parser.parse(part);
            }
        });
    }

    @Test
    public void manyEventsAreParsedAsTheyArrive() {
        EventStreamParser parser = new EventStreamParser();
        byte[] event = ("data: " + "x".repeat(500_000) + "\ndata: y\n\n").getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < 10; i++) {
            assertEquals(parser.parse(event), List.of("x".repeat(500_000) + "\ny"));
        }
    }
}
