package io.chivehollow.settings;

import java.util.List;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;

/**
 * Thrown for a settings file with faults; carries all of them.
 *
 * <p>Immutable, apart from the mutable state of {@link Throwable}.
 */
public final class SettingsException extends ChivehollowException {

    private static final long serialVersionUID = 1L;

    private final transient List<SettingsFault> faults;

    SettingsException(List<SettingsFault> faults) {
        super(ErrorCode.INVALID_REQUEST, "Settings have " + faults.size() + " faults: " + faults, true, null);
        this.faults = List.copyOf(faults);
    }

    /** Returns the faults in the order in which they were found. */
    public List<SettingsFault> faults() {
        return faults;
    }
}
