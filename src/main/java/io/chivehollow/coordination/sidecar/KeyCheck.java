package io.chivehollow.coordination.sidecar;

/**
 * Checks during a request that its API key has not been withdrawn.
 *
 * <p>Used on the sidecar's event loop. A key that was never in the sidecar's copy of the configuration counts as too
 * new for that copy, not as withdrawn; the gateway has checked it.
 */
final class KeyCheck {

    private final ReleasedAdmission admission;
    private final String keyId;
    private boolean wasConfigured;

    KeyCheck(ReleasedAdmission admission, String keyId) {
        this.admission = admission;
        this.keyId = keyId;
        this.wasConfigured = isConfigured();
    }

    /** Returns whether the key was in the configuration before and no longer is. */
    boolean isWithdrawn() {
        boolean configured = isConfigured();
        boolean isWithdrawn = wasConfigured && !configured;
        wasConfigured |= configured;
        return isWithdrawn;
    }

    private boolean isConfigured() {
        return !keyId.isEmpty() && admission.hasApiKey(keyId);
    }
}
