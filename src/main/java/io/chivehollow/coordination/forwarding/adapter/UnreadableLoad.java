package io.chivehollow.coordination.forwarding.adapter;

import java.util.Locale;

/**
 * A load report, or a part of one, that cannot be read.
 *
 * <p>Immutable and thread-safe.
 *
 * @param reason why it cannot be read
 * @param text the beginning of the report in printable characters
 */
public record UnreadableLoad(Reason reason, String text) {

    private static final int MAX_TEXT_LENGTH = 40;

    /** Why a load report cannot be read. */
    public enum Reason {
        /** The report has too few or too many figures. */
        FIGURE_COUNT,
        /** A number of requests or slots is not a whole number that is at least 0. */
        NOT_A_NUMBER,
        /** A number of requests or slots is larger than that of any server. */
        OUT_OF_RANGE,
        /** The statement about the server's machine is not a percentage; the rest of the report is used. */
        MACHINE;

        /** Returns the name of the reason in metrics and in the log. */
        public String metricName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Returns the description of an unreadable report. */
    public static UnreadableLoad of(Reason reason, String report) {
        String printable = report.replaceAll("[^ -~]", "?");
        return new UnreadableLoad(reason, printable.substring(0, Math.min(printable.length(), MAX_TEXT_LENGTH)));
    }
}
