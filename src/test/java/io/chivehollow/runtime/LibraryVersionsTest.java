package io.chivehollow.runtime;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against libraries that are older than known faults allow, and against families in several versions. */
public class LibraryVersionsTest {

    private static final Pattern JAR = Pattern.compile("([a-z][a-zA-Z0-9-]*?)-([0-9][^-]*)(-[a-zA-Z0-9_-]+)?\\.jar");
    private static final Pattern ROW = Pattern.compile("(?m)^\\| `([a-z]+)-\\*` \\| ([0-9][^ ]*) \\| [^|]+ \\|$");

    /** Returns the lowest version of each family from the table in docs/running.md. */
    private static Map<String, String> lowestVersions() throws IOException {
        Map<String, String> versions = new TreeMap<>();
        ROW.matcher(Files.readString(Path.of("docs/running.md")))
                .results()
                .forEach(row -> versions.put(row.group(1), row.group(2)));
        return versions;
    }

    private static List<String> faults(List<String> jars, Map<String, String> lowestVersions) {
        List<String> faults = new ArrayList<>();
        lowestVersions.forEach((family, lowest) -> {
            TreeSet<String> versions = new TreeSet<>();
            for (String jar : jars) {
                Matcher parts = JAR.matcher(jar);
                if (parts.matches() && parts.group(1).startsWith(family + "-")) {
                    versions.add(parts.group(2));
                }
            }
            if (versions.size() != 1) {
                faults.add(family + ": expected one version, found " + versions);
            }
            for (String version : versions) {
                if (Arrays.compare(numbers(version), numbers(lowest)) < 0) {
                    faults.add(family + ": expected " + lowest + " or later, found " + version);
                }
            }
        });
        return faults;
    }

    private static int[] numbers(String version) {
        return Pattern.compile("[0-9]+")
                .matcher(version)
                .results()
                .map(MatchResult::group)
                .mapToInt(Integer::parseInt)
                .toArray();
    }

    @Test
    public void eachFamilyHasOneVersionThatIsRecentEnough() throws IOException {
        Map<String, String> lowest = lowestVersions();
        assertEquals(List.copyOf(lowest.keySet()), List.of("jackson", "micronaut", "netty", "protobuf"));
        List<String> jars = Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .map(entry -> Path.of(entry).getFileName().toString())
                .toList();
        assertEquals(String.join("\n", faults(jars, lowest)), "");
    }

    @Test
    public void faultyClassPathsAreReported() {
        Map<String, String> lowest = Map.of("netty", "4.2.20.Final");
        String recent = "netty-common-4.2.20.Final.jar";
        assertEquals(faults(List.of(recent, "netty-codec-http-4.2.20.Final-linux.jar"), lowest), List.of());
        assertEquals(
                faults(List.of(recent, "netty-codec-http-4.2.21.Final.jar"), lowest),
                List.of("netty: expected one version, found [4.2.20.Final, 4.2.21.Final]"));
        assertEquals(
                faults(List.of("netty-codec-http-4.2.9.Final.jar"), lowest),
                List.of("netty: expected 4.2.20.Final or later, found 4.2.9.Final"));
        assertEquals(faults(List.of("other-1.0.jar"), lowest), List.of("netty: expected one version, found []"));
    }
}
