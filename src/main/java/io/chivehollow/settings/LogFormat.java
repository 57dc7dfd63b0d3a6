package io.chivehollow.settings;

/** Format of the log. */
public enum LogFormat {
    /** One line of text per event. */
    TEXT,
    /** One JSON object per event, each on its own line. */
    JSON
}
