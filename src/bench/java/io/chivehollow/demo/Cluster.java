package io.chivehollow.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;

/**
 * A complete system on the loopback interface: gateways that are also replicas, sidecars, and stand-ins for backend
 * servers, each in a process of its own.
 *
 * <p>Not thread-safe. {@link #close} terminates all processes.
 */
public final class Cluster implements AutoCloseable {

    /** Operator key of this temporary system. */
    public static final String OPERATOR_KEY = "operator-key-of-the-demo";

    /** Deployment secret of this temporary system. */
    private static final String SECRET = "deployment-secret-of-the-demo";

    private static final String HOST = "127.0.0.1";
    private static final int FIRST_PORT = 10_000;
    private static final int PORTS = 20_000;
    private static final int DOMAINS = 3;
    private static final int GATEWAYS = 3;
    private static final String JAVA_OPTIONS =
            "-Xmx160m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss512k -XX:ActiveProcessorCount=2";

    private final Path folder;
    private final Path project;
    private final Processes processes;
    private final List<Integer> gatewayPorts = new ArrayList<>();
    private final List<Integer> replicaPorts = new ArrayList<>();
    private final List<Backend> backends = new ArrayList<>();

    private Cluster(Path project, Path folder) {
        this.project = project;
        this.folder = folder;
        this.processes = Processes.create(folder);
    }

    /**
     * A backend server and its sidecar.
     *
     * @param id id of the backend server
     * @param kind prefill, decode or plain
     * @param domain failure domain of both processes
     * @param port port of the backend server
     * @param sidecarPort port of its sidecar
     */
    public record Backend(String id, String kind, String domain, int port, int sidecarPort) {}

    /**
     * Starts all processes without waiting until they are ready.
     *
     * @param project folder of the project, which contains {@code target} with the built router
     * @param folder existing folder for settings, logs and data
     */
    public static Cluster start(Path project, Path folder) {
        Cluster cluster = new Cluster(project, folder);
        try {
            cluster.startAll();
        } catch (IOException e) {
            cluster.close();
            throw new UncheckedIOException(e);
        } catch (RuntimeException e) {
            cluster.close();
            throw e;
        }
        return cluster;
    }

    private void startAll() throws IOException {
        List<Integer> ports = freePorts(2 * GATEWAYS + 10);
        write("secret", SECRET);
        write("operator-key", OPERATOR_KEY);
        gatewayPorts.addAll(ports.subList(0, GATEWAYS));
        replicaPorts.addAll(ports.subList(GATEWAYS, 2 * GATEWAYS));
        List<Integer> rest = ports.subList(2 * GATEWAYS, ports.size());
        String[] kinds = {"prefill", "prefill", "decode", "decode", "plain"};
        for (int i = 0; i < kinds.length; i++) {
            String id = kinds[i] + "-" + i;
            backends.add(new Backend(id, kinds[i], domain(i), rest.get(2 * i), rest.get(2 * i + 1)));
        }
        for (int i = 0; i < GATEWAYS; i++) {
            startGateway(i);
        }
        for (Backend backend : backends) {
            startBackend(backend);
            startSidecar(backend);
        }
    }

    /** Starts a gateway; also restarts one whose process has ended. */
    public void startGateway(int index) throws IOException {
        write("gateway-" + index + ".json", gatewaySettings(index));
        processes.start("gateway-" + index, routerCommand("run", folder.resolve("gateway-" + index + ".json")));
    }

    /** Starts the sidecar of a backend server; also restarts one whose process has ended. */
    public void startSidecar(Backend backend) throws IOException {
        String name = "sidecar-" + backend.id();
        write(name + ".json", sidecarSettings(backend));
        processes.start(name, routerCommand("run", folder.resolve(name + ".json")));
    }

    /** Starts the stand-in for a backend server. */
    public void startBackend(Backend backend) {
        String main = backend.kind().equals("plain") ? "PlainServiceMain" : "EngineMain";
        List<String> command = new ArrayList<>(List.of(
                "java",
                "-Xmx192m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:ActiveProcessorCount=2",
                "-cp",
                project.resolve("target/test-classes") + ":" + project.resolve("target/chivehollow-0.1.0-all.jar"),
                "io.chivehollow.standin." + main,
                "--port",
                String.valueOf(backend.port())));
        processes.start("backend-" + backend.id(), command);
    }

    /** Returns the URL of a gateway. */
    public String gatewayUrl(int index) {
        return "http://" + HOST + ":" + gatewayPorts.get(index);
    }

    /** Returns the number of gateways. */
    public int gateways() {
        return GATEWAYS;
    }

    /** Returns the backend servers. */
    public List<Backend> backends() {
        return List.copyOf(backends);
    }

    /** Returns the URL of a backend server, for requests that bypass the router. */
    public static String backendUrl(Backend backend) {
        return "http://" + HOST + ":" + backend.port();
    }

    /** Returns the processes of the system. */
    public Processes processes() {
        return processes;
    }

    /** Returns the folder with settings, logs and data. */
    public Path folder() {
        return folder;
    }

    private String gatewaySettings(int index) {
        String members = "";
        for (int i = 0; i < GATEWAYS; i++) {
            members += (i == 0 ? "" : ", ")
                    + "{\"instance\": \"gateway-%d\", \"address\": \"%s:%d\"}".formatted(i, HOST, replicaPorts.get(i));
        }
        return """
                {
                  // Gateway and replica in one process.
                  "instance": "gateway-%d",
                  "failure_domain": "%s",
                  "secret_file": "secret",
                  "replicas": [%s],
                  "gateway": {"http_address": "%s:%d", "operator_key_file": "operator-key",
                              "interactive_queue_ms": 1000},
                  "replica": {"address": "%s:%d", "data_folder": "data-%d", "members": [%s]}
                }
                """
                .formatted(
                        index,
                        domain(index),
                        replicaList(),
                        HOST,
                        gatewayPorts.get(index),
                        HOST,
                        replicaPorts.get(index),
                        index,
                        members);
    }

    private String sidecarSettings(Backend backend) {
        return """
                {
                  "instance": "sidecar-%s",
                  "failure_domain": "%s",
                  "secret_file": "secret",
                  "replicas": [%s],
                  "sidecar": {
                    "address": "%s:%d",
                    "backend_server": "%s",
                    "backend_address": "%s:%d",
                    "kind": "%s"
                  }
                }
                """
                .formatted(
                        backend.id(),
                        backend.domain(),
                        replicaList(),
                        HOST,
                        backend.sidecarPort(),
                        backend.id(),
                        HOST,
                        backend.port(),
                        backend.kind());
    }

    private String replicaList() {
        return replicaPorts.stream()
                .map(port -> "\"" + HOST + ":" + port + "\"")
                .collect(Collectors.joining(", "));
    }

    /** Returns the command line that runs a subcommand of the router's launcher. */
    private List<String> routerCommand(String command, Path settings) {
        return List.of(
                "env",
                "CHIVEHOLLOW_JAVA_OPTS=" + JAVA_OPTIONS,
                project.resolve("target/chivehollow").toString(),
                command,
                settings.toString());
    }

    /** Returns the failure domain of the gateway or backend server with the given index. */
    static String domain(int index) {
        return "domain-" + (char) ('a' + index % DOMAINS);
    }

    private void write(String name, String text) throws IOException {
        Files.writeString(folder.resolve(name), text);
    }

    /** Returns free ports below the range from which the operating system takes ports for outgoing connections. */
    private static List<Integer> freePorts(int count) {
        List<Integer> ports = new ArrayList<>();
        int candidate = FIRST_PORT + new Random().nextInt(PORTS / 2);
        while (ports.size() < count) {
            try (ServerSocket socket = new ServerSocket(candidate, 1, InetAddress.getByName(HOST))) {
                ports.add(socket.getLocalPort());
            } catch (IOException e) {
                // The port is in use; the next one may be free.
            }
            candidate++;
        }
        return ports;
    }

    @Override
    public void close() {
        processes.close();
    }
}
