package io.chivehollow.settings;

/**
 * One fault in a settings file.
 *
 * <p>Immutable and thread-safe.
 *
 * @param file name of the file
 * @param path path of the field, for example {@code gateway.http_address}, or line and column of a syntax error
 * @param value the value that was found there
 * @param expected the value that was expected
 */
public record SettingsFault(String file, String path, String value, String expected) {

    @Override
    public String toString() {
        return file + ": " + path + ": " + value + ": expected " + expected;
    }
}
