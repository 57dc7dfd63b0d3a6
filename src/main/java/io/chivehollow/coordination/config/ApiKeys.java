package io.chivehollow.coordination.config;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.google.common.io.BaseEncoding;
import com.google.protobuf.ByteString;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.protocol.wire.ApiKey;

/**
 * Generates, parses and checks API keys of the form {@code chk_<id>_<secret>}.
 *
 * <p>Invariant: the secret part of a key leaves this class only in the text of a new key. Thread-safe.
 */
public final class ApiKeys {

    private static final String ALGORITHM = "HmacSHA256";
    private static final int ID_BYTES = 10;
    private static final int SECRET_BYTES = 32;
    private static final Pattern KEY_PATTERN = Pattern.compile("chk_([a-z2-7]{1,64})_([a-z2-7]{1,128})");
    private static final BaseEncoding ENCODING =
            BaseEncoding.base32().lowerCase().omitPadding();

    private final byte[] deploymentSecret;

    private ApiKeys(byte[] deploymentSecret) {
        this.deploymentSecret = deploymentSecret;
    }

    /** Returns an instance that computes the MAC of stored keys with the deployment secret. */
    public static ApiKeys of(byte[] deploymentSecret) {
        return new ApiKeys(deploymentSecret.clone());
    }

    /** Generates a key; its text must be shown once and not stored. */
    public NewKey make(SecureRandom random) {
        String id = randomText(random, ID_BYTES);
        String secret = randomText(random, SECRET_BYTES);
        return new NewKey(id, "chk_" + id + "_" + secret, ByteString.copyFrom(mac(secret)));
    }

    /** Returns the id in the text of a key, or empty if the text does not have the form of a key. */
    public static Optional<String> idOf(String text) {
        Matcher matcher = KEY_PATTERN.matcher(text);
        return matcher.matches() ? Optional.of(matcher.group(1)) : Optional.empty();
    }

    /** Returns whether the text is the key of the stored record; the comparison takes constant time. */
    public boolean matches(ApiKey stored, String text) {
        Matcher matcher = KEY_PATTERN.matcher(text);
        if (!matcher.matches() || !matcher.group(1).equals(stored.getId())) {
            return false;
        }
        return MessageDigest.isEqual(
                mac(matcher.group(2)), stored.getSecretMac().toByteArray());
    }

    /**
     * Returns the team and the id of the key in a request.
     *
     * <p>Throws {@link CoordinationException} with {@code CONFIGURATION_STALE} if the view is not fresh, and with
     * {@code INVALID_KEY} if the key is not valid according to the view; both are "not run".
     */
    public CheckedKey check(ConfigView view, String text) {
        Configuration configuration = freshConfiguration(view);
        Optional<ApiKey> stored = idOf(text).flatMap(configuration::apiKey);
        if (stored.isEmpty() || !matches(stored.get(), text)) {
            throw CoordinationException.notRun(ErrorCode.INVALID_KEY, "The API key is not valid");
        }
        return new CheckedKey(TeamId.of(stored.get().getTeam()), stored.get().getId());
    }

    /**
     * Checks that a key that was accepted earlier is still valid.
     *
     * <p>Throws {@link CoordinationException} with {@code CONFIGURATION_STALE} or {@code KEY_WITHDRAWN}; both are "not
     * run".
     */
    public static void recheck(ConfigView view, CheckedKey key) {
        Configuration configuration = freshConfiguration(view);
        boolean isValid = configuration
                .apiKey(key.keyId())
                .filter(stored -> stored.getTeam().equals(key.team().value()))
                .isPresent();
        if (!isValid) {
            throw CoordinationException.notRun(ErrorCode.KEY_WITHDRAWN, "The API key was withdrawn");
        }
    }

    private static Configuration freshConfiguration(ConfigView view) {
        // Freshness is checked before the copy is read, because a later copy is at least as fresh.
        boolean isFresh = view.isFresh();
        Optional<Configuration> configuration = view.current();
        if (!isFresh || configuration.isEmpty()) {
            throw CoordinationException.notRun(
                    ErrorCode.CONFIGURATION_STALE, "This instance cannot prove that its configuration is current");
        }
        return configuration.get();
    }

    private byte[] mac(String secret) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(deploymentSecret, ALGORITHM));
            return mac.doFinal(secret.getBytes(StandardCharsets.US_ASCII));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("The Java runtime does not support " + ALGORITHM, e);
        }
    }

    private static String randomText(SecureRandom random, int sizeBytes) {
        byte[] bytes = new byte[sizeBytes];
        random.nextBytes(bytes);
        return ENCODING.encode(bytes);
    }

    /**
     * A new key.
     *
     * @param id id of the key
     * @param text text of the key, including the secret
     * @param secretMac MAC of the secret, which is stored instead of the secret
     */
    public record NewKey(String id, String text, ByteString secretMac) {

        @Override
        public String toString() {
            return "NewKey[" + id + "]";
        }
    }

    /**
     * A valid key without its secret.
     *
     * @param team team to which the key belongs
     * @param keyId id of the key
     */
    public record CheckedKey(TeamId team, String keyId) {}
}
