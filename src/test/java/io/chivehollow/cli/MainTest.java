package io.chivehollow.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;

import com.fasterxml.jackson.databind.json.JsonMapper;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.state.machine.IdempotencyKey;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against commands that fail but exit with the code for success, and against unreadable output. */
public class MainTest {

    private static final long TIME_MS = 0x0123_4567_89ABL;

    @Test
    public void invalidArgumentsAndSettingsExitWithTwo() throws IOException {
        Path file = Files.createTempFile("settings", ".json");
        Files.writeString(file, "{\"instance\": 1}");
        assertEquals(Main.run("check", file.toString()), ExitCode.INVALID);
        assertEquals(Main.run("run", file.toString()), ExitCode.INVALID);
        assertEquals(Main.run("no-such-command"), ExitCode.INVALID);
        assertEquals(Main.run("status"), ExitCode.INVALID);
        Files.delete(file);
    }

    @Test
    public void unreachableGatewayExitsWithFour() throws IOException {
        Path key = Files.createTempFile("operator", ".key");
        Files.writeString(key, "operator-key-of-a-test");
        // Nothing listens at port 1 of the loopback interface.
        String[] args = {"status", "--operator-key-file", key.toString(), "--gateway", "http://127.0.0.1:1"};
        assertEquals(Main.run(args), ExitCode.UNREACHABLE);
        Files.delete(key);
    }

    @Test
    public void helpAndVersionSucceed() {
        assertEquals(Main.run("--help"), ExitCode.SUCCESS);
        assertEquals(Main.run("--version"), ExitCode.SUCCESS);
        assertEquals(Main.run(), ExitCode.SUCCESS);
    }

    @Test
    public void idempotencyKeyContainsItsCreationTime() {
        // All random bits are set, so that any that overwrote the version, the variant or the time would be detected.
        IdempotencyKey created = IdempotencyKey.create(TIME_MS, () -> -1L);
        assertEquals(IdempotencyKey.parse(created.text()).orElseThrow(), created);
        UUID key = UUID.fromString(created.text());
        assertEquals(key.version(), 7);
        assertEquals(key.variant(), 2);
        assertEquals(key.getMostSignificantBits() >>> 16, TIME_MS);
    }

    @Test
    public void listsAreShownAsTables() throws IOException {
        String text = JsonText.describe(new JsonMapper()
                .readTree("{\"leader\": \"a\", \"teams\": [{\"id\": \"t\", \"rate\": 5}], \"keys\": []}"));
        assertEquals(text, "leader: a\nteams:\n  id  rate\n  t   5\nkeys: none\n");
    }

    @Test
    public void everyErrorCodeIsParsedFromItsWireName() {
        for (ErrorCode code : ErrorCode.values()) {
            assertEquals(ErrorCode.fromWireName(code.wireName()), code);
            assertTrue(code.httpStatus() >= 400, code + " must be an error status");
        }
    }
}
