package io.chivehollow.transport;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;

/**
 * Computes and checks the messages with which both sides prove that they have the deployment secret.
 *
 * <p>Each proof is an HMAC over both nonces, the direction and the instance. The direction prevents a reflection
 * attack, in which a side is made to compute the response to its own challenge. Thread-safe.
 */
final class Handshake {

    private static final int NONCE_BYTES = 32;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final byte[] secret;

    Handshake(byte[] secret) {
        this.secret = secret;
    }

    static ByteString newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return ByteString.copyFrom(nonce);
    }

    static boolean isNonce(ByteString nonce) {
        return nonce.size() == NONCE_BYTES;
    }

    ByteString serverProof(ByteString clientNonce, ByteString serverNonce, String server) {
        return mac("server", clientNonce, serverNonce, server);
    }

    ByteString clientProof(ByteString clientNonce, ByteString serverNonce, String client) {
        return mac("client", clientNonce, serverNonce, client);
    }

    /** Returns whether the proofs are equal, in constant time. */
    static boolean matches(ByteString expected, ByteString actual) {
        return MessageDigest.isEqual(expected.toByteArray(), actual.toByteArray());
    }

    private ByteString mac(String direction, ByteString clientNonce, ByteString serverNonce, String instance) {
        byte[] mac = Hashing.hmacSha256(secret)
                .newHasher()
                .putString(direction, StandardCharsets.UTF_8)
                .putBytes(clientNonce.toByteArray())
                .putBytes(serverNonce.toByteArray())
                .putString(instance, StandardCharsets.UTF_8)
                .hash()
                .asBytes();
        return ByteString.copyFrom(mac);
    }
}
