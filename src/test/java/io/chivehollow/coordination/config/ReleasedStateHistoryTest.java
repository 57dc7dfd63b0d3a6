package io.chivehollow.coordination.config;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Optional;

import io.chivehollow.coordination.simulation.Seeds;
import io.chivehollow.protocol.wire.ApiKey;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against outdated or reverted configurations at watchers while replicas lag, restart, or are partitioned. */
public class ReleasedStateHistoryTest {

    private static final int SEEDS = 1_000;

    /**
     * Guards against a watcher whose version decreases, a withdrawn key that is valid for more than 3 s, a watcher that
     * is partitioned from the replicas and still considered fresh, and a note that takes effect twice.
     */
    @Test
    public void versionsNeverDecreaseAndPartitionedWatchersBecomeStale() {
        Seeds.check(SEEDS, seed -> new ConfigWatcherSimulation(seed, true, ConfigWatcher.FRESHNESS_BOUND_MS).run());
    }

    /** Guards against watchers that are stale, or receive a change late, without any fault. */
    @Test
    public void watchersAreFreshWithoutFaults() {
        Seeds.check(200, seed -> new ConfigWatcherSimulation(seed, false, ConfigWatcher.FRESHNESS_BOUND_MS).run());
    }

    /** Guards against a checker that does not detect a watcher that is considered fresh without a proof. */
    @Test
    public void checkerFindsWatchersWithoutAFreshnessBound() {
        Seeds.checkFound(SEEDS, seed -> new ConfigWatcherSimulation(seed, true, 3_600_000).run());
    }

    /** Guards against keys that match the record of another key or the secret of another deployment. */
    @Test
    public void keyMatchesOnlyItsOwnRecord() {
        ApiKeys keys = ApiKeys.of("a secret of this deployment".getBytes(StandardCharsets.UTF_8));
        ApiKeys.NewKey first = keys.make(new SecureRandom());
        ApiKeys.NewKey second = keys.make(new SecureRandom());
        ApiKey stored = ApiKey.newBuilder()
                .setId(first.id())
                .setTeam("red")
                .setSecretMac(first.secretMac())
                .build();
        assertTrue(keys.matches(stored, first.text()));
        assertFalse(keys.matches(stored, second.text()));
        assertFalse(
                keys.matches(stored, "chk_" + first.id() + "_" + second.text().split("_")[2]));
        assertFalse(ApiKeys.of("another secret, also long".getBytes(StandardCharsets.UTF_8))
                .matches(stored, first.text()));
        assertEquals(ApiKeys.idOf(first.text()), Optional.of(first.id()));
        assertEquals(ApiKeys.idOf("sk-123"), Optional.empty());
        assertFalse(first.toString().contains(first.text()));
    }
}
