package io.chivehollow.coordination.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.chivehollow.protocol.wire.PromptCrash;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * The crashes of backend servers that began an answer, and the prompts that are refused because of them.
 *
 * <p>A part of a prompt is suspect after a crash until an answer with it has begun, also if the ledger learns of the
 * crash only after that answer. Prompts are refused that have all parts of a {@link CrashSignature}. After a pause that
 * doubles with each further crash, the witness of the last crash lets one of them through, so that a part that no
 * longer crashes servers is found out. Ledgers exchange their crashes and have the same ones after that, in whatever
 * order: a merge keeps the suspect parts that both have.
 *
 * <p>Invariant: crashes are forgotten after {@link #RETENTION_NANOS}, and the oldest ones if there are more than
 * {@link #MAX_CRASHES}. Thread-safe; guarded by its own lock.
 */
public final class CrashLedger {

    private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

    /** Bounds the memory and the size of a message, which has about 100 bytes for each crash. */
    private static final int MAX_CRASHES = 64;

    /** Time for which begun answers are remembered; crashes become known to all processes within about a second. */
    private static final long BEGUN_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final int MAX_BEGUN_PARTS = 4_096;

    private static final long FIRST_TRIAL_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Limits the doubling of the pause to 8 minutes, less than the retention. */
    private static final int MAX_DOUBLINGS = 4;

    private final String instance;
    private final LongSupplier nanoTime;
    private final Map<ServerCrash.Key, ServerCrash> crashes = new LinkedHashMap<>();
    private final Map<ImmutableSet<String>, Long> trialNanos = new HashMap<>();

    /** Last time at which an answer with a part has begun, in the order of these times. */
    private final Map<String, Long> begunNanos = new LinkedHashMap<>();

    private ImmutableList<CrashSignature> signatures = ImmutableList.of();
    private volatile Runnable changeListener = () -> {};

    private CrashLedger(String instance, LongSupplier nanoTime) {
        this.instance = instance;
        this.nanoTime = nanoTime;
    }

    /** Returns an empty ledger of the instance that uses the given monotonic clock in nanoseconds. */
    public static CrashLedger create(String instance, LongSupplier nanoTime) {
        return new CrashLedger(instance, nanoTime);
    }

    /** Sets what is run after each crash or begun answer that changes the ledger; merges do not run it. */
    public void setChangeListener(Runnable listener) {
        changeListener = listener;
    }

    /**
     * Records that a backend server ended while it began the answer to a prompt.
     *
     * @param backendServer id of the run of the backend server
     * @param promptParts parts of the prompt in their order; the last one belongs to it alone and is not suspect
     * @return whether the crash is recorded; a prompt without shared parts is not
     */
    public boolean add(String backendServer, List<String> promptParts) {
        if (promptParts.size() < 2) {
            return false;
        }
        int last = promptParts.size() - 1;
        ServerCrash crash = new ServerCrash(
                new ServerCrash.Key(backendServer, promptParts.get(last)),
                ImmutableSet.copyOf(promptParts.subList(0, last)),
                instance,
                nanoTime.getAsLong());
        synchronized (this) {
            put(crash);
            update();
        }
        changeListener.run();
        return true;
    }

    /** Records that an answer to a prompt has begun, so that its parts are not suspect any more. */
    public void onAnswerBegun(List<String> promptParts) {
        if (clear(promptParts)) {
            changeListener.run();
        }
    }

    private synchronized boolean clear(List<String> promptParts) {
        rememberBegun(promptParts);
        boolean isChanged = false;
        for (ServerCrash crash : List.copyOf(crashes.values())) {
            ServerCrash cleared = crash.without(promptParts);
            if (cleared.suspectParts().size() < crash.suspectParts().size()) {
                crashes.put(crash.key(), cleared);
                isChanged = true;
            }
        }
        if (isChanged) {
            update();
        }
        return isChanged;
    }

    private void rememberBegun(List<String> promptParts) {
        long now = nanoTime.getAsLong();
        for (String part : promptParts) {
            begunNanos.remove(part);
            begunNanos.put(part, now);
        }
        Iterator<Long> oldest = begunNanos.values().iterator();
        while (oldest.hasNext() && (now - oldest.next() > BEGUN_NANOS || begunNanos.size() > MAX_BEGUN_PARTS)) {
            oldest.remove();
        }
    }

    /** Returns whether prompts with these parts are refused. */
    public synchronized boolean isBlocked(List<String> promptParts) {
        if (signatures.isEmpty()) {
            return false;
        }
        removeExpired();
        return signatures.stream().anyMatch(signature -> signature.matches(promptParts));
    }

    /**
     * Returns whether a blocked prompt may be sent once, to find out whether it still crashes its server. The next one
     * may follow only after a further pause.
     */
    public synchronized boolean startTrial(List<String> promptParts) {
        long now = nanoTime.getAsLong();
        for (CrashSignature signature : signatures) {
            if (signature.matches(promptParts) && !mayStartTrial(signature, now)) {
                return false;
            }
        }
        signatures.stream()
                .filter(signature -> signature.matches(promptParts))
                .forEach(signature -> trialNanos.put(signature.parts(), now));
        return true;
    }

    private boolean mayStartTrial(CrashSignature signature, long now) {
        ServerCrash newest = signature.newest();
        int doublings = Math.min(MAX_DOUBLINGS, signature.servers() - CrashSignature.MIN_SERVERS);
        long pauseNanos = FIRST_TRIAL_PAUSE_NANOS << doublings;
        Long lastTrialNanos = trialNanos.get(signature.parts());
        return newest.witness().equals(instance)
                && now - newest.timeNanos() >= pauseNanos
                && (lastTrialNanos == null || now - lastTrialNanos >= pauseNanos);
    }

    /** Returns a number that is equal for ledgers with the same crashes and the same suspect parts. */
    public synchronized long digest() {
        removeExpired();
        long digest = 0;
        for (ServerCrash crash : crashes.values()) {
            Hasher hasher = Hashing.farmHashFingerprint64()
                    .newHasher()
                    .putString(crash.key().backendServer(), UTF_8)
                    .putChar('/')
                    .putString(crash.key().prompt(), UTF_8);
            crash.suspectParts().stream().sorted().forEach(part -> hasher.putChar('/')
                    .putString(part, UTF_8));
            digest += hasher.hash().asLong();
        }
        return digest;
    }

    /** Returns all crashes for a message to another ledger. */
    public synchronized List<PromptCrash> toMessages() {
        removeExpired();
        long now = nanoTime.getAsLong();
        List<PromptCrash> messages = new ArrayList<>();
        for (ServerCrash crash : crashes.values()) {
            messages.add(PromptCrash.newBuilder()
                    .setBackendServer(crash.key().backendServer())
                    .setPrompt(crash.key().prompt())
                    .addAllSuspectParts(crash.suspectParts())
                    .setWitness(crash.witness())
                    .setAgeMs((int) TimeUnit.NANOSECONDS.toMillis(now - crash.timeNanos()))
                    .build());
        }
        return messages;
    }

    /** Merges the crashes of another ledger. */
    public synchronized void merge(List<PromptCrash> messages) {
        long now = nanoTime.getAsLong();
        for (PromptCrash message : messages) {
            put(new ServerCrash(
                    new ServerCrash.Key(message.getBackendServer(), message.getPrompt()),
                    ImmutableSet.copyOf(message.getSuspectPartsList()),
                    message.getWitness(),
                    now - TimeUnit.MILLISECONDS.toNanos(message.getAgeMs())));
        }
        update();
    }

    private void put(ServerCrash crash) {
        ServerCrash merged = crashes.merge(crash.key(), crash, ServerCrash::merge);
        crashes.put(merged.key(), merged.without(Sets.filter(merged.suspectParts(), part -> {
            Long begun = begunNanos.get(part);
            return begun != null && begun - merged.timeNanos() > 0;
        })));
    }

    private void removeExpired() {
        long now = nanoTime.getAsLong();
        if (crashes.values().stream().anyMatch(crash -> now - crash.timeNanos() > RETENTION_NANOS)) {
            update();
        }
    }

    private void update() {
        long now = nanoTime.getAsLong();
        crashes.values().removeIf(crash -> now - crash.timeNanos() > RETENTION_NANOS);
        while (crashes.size() > MAX_CRASHES) {
            ServerCrash oldest = null;
            for (ServerCrash crash : crashes.values()) {
                oldest = oldest == null || crash.timeNanos() - oldest.timeNanos() < 0 ? crash : oldest;
            }
            crashes.values().remove(oldest);
        }
        signatures = CrashSignature.of(crashes.values());
        trialNanos.keySet().removeIf(parts -> signatures.stream()
                .noneMatch(signature -> signature.parts().equals(parts)));
    }
}
