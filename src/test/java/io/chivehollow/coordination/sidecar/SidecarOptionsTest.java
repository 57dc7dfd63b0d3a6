package io.chivehollow.coordination.sidecar;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.chivehollow.coordination.coldstart.RampConfig;
import io.chivehollow.settings.Settings;
import io.chivehollow.settings.SettingsLoader;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against times of a backend server that ignore the settings or are converted to a wrong unit. */
public class SidecarOptionsTest {

    private static final String TIMES =
            """
            , "prefill_expiry_ms": 500, "transfer_timeout_ms": 3000, "warm_output_token_us": 20500,
            "warm_prompt_token_us": 30, "warm_fixed_ms": 70""";

    @Test
    public void settingsWithoutTimesUseTheDefaults() throws IOException {
        SidecarOptions decode = options("decode", "");
        assertEquals(decode.prefillExpiryMs(), 800);
        assertEquals(decode.transferTimeoutMs(), 2_000);
        assertEquals(decode.slowTokenMs(), 135);
        assertEquals(decode.ramp(), new RampConfig(20, 100, 45));
        assertEquals(options("prefill", "").ramp(), new RampConfig(20, 100, 0.06));
    }

    @Test
    public void timesOfTheSettingsReplaceTheDefaults() throws IOException {
        SidecarOptions decode = options("decode", TIMES);
        assertEquals(decode.prefillExpiryMs(), 500);
        assertEquals(decode.transferTimeoutMs(), 3_000);
        assertEquals(decode.slowTokenMs(), 62, "61.5 ms, rounded up so that it is never 0");
        assertEquals(decode.ramp(), new RampConfig(20, 70, 20.5));
        assertEquals(options("prefill", TIMES).ramp(), new RampConfig(20, 70, 0.03));
    }

    private static SidecarOptions options(String kind, String fields) throws IOException {
        Path folder = Files.createTempDirectory("sidecar-options");
        Path secret = Files.writeString(folder.resolve("secret"), "0123456789abcdef");
        Path file = Files.writeString(
                folder.resolve("settings.json"),
                """
                {"instance": "i", "failure_domain": "d", "secret_file": "secret", "replicas": ["127.0.0.1:7001"],
                 "sidecar": {"address": "127.0.0.1:7002", "backend_server": "b", "backend_address": "127.0.0.1:9000",
                             "kind": "%s"%s}}
                """
                        .formatted(kind, fields));
        try {
            Settings settings = SettingsLoader.load(file);
            return SidecarOptions.of(settings.sidecar(), settings.failureDomain());
        } finally {
            Files.delete(file);
            Files.delete(secret);
            Files.delete(folder);
        }
    }
}
