import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Starts processes of the project with the command of the deploy file and a platform stand-in for them.
 *
 * <p>The processes have loopback addresses of their own and the same ports, as on the platform. All processes are
 * killed and the temporary folder is deleted when the rig is closed.
 */
final class MachineRig implements AutoCloseable {

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);

    final Path repository = Path.of("").toAbsolutePath();
    final Path folder;
    final int frontPort;
    final int readyPort;
    final int controlPort;
    final int peerPort;
    final int metricsPort;
    private final int network;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final ServerSocket listServer;
    private final List<Machine> machines = new CopyOnWriteArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(CALL_TIMEOUT).build();
    private volatile Supplier<List<String>> instances = List::of;

    MachineRig(Path recordFile) throws IOException {
        Path parent = Files.createDirectories(repository.resolve("target/review-3-runs"));
        folder = Files.createTempDirectory(parent, "run");
        record = new PrintWriter(
                Files.newBufferedWriter(recordFile, StandardOpenOption.CREATE, StandardOpenOption.APPEND), true);
        network = 16 + new Random().nextInt(200);
        frontPort = freePort();
        readyPort = freePort();
        controlPort = freePort();
        peerPort = freePort();
        metricsPort = freePort();
        listServer = new ServerSocket(0, 128, InetAddress.getByName(address(250)));
        daemon("list", this::serveList);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    private int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address(1)))) {
            return socket.getLocalPort();
        }
    }

    String address(int host) {
        return "127.77." + network + "." + host;
    }

    static void daemon(String name, Runnable action) {
        Thread thread = new Thread(action, name);
        thread.setDaemon(true);
        thread.start();
    }

    void log(String format, Object... values) {
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        String line = String.format(Locale.ROOT, "%8.3f s  ", seconds) + String.format(Locale.ROOT, format, values);
        synchronized (record) {
            record.println(line);
        }
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    static void sleep(long timeMs) {
        try {
            Thread.sleep(timeMs);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits until the condition holds; throws if it does not within the time. */
    void await(String what, long timeMs, Supplier<Boolean> condition) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeMs);
        while (!condition.get()) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("not within " + timeMs + " ms: " + what);
            }
            sleep(20);
        }
    }

    // The platform's list of instances.

    void setInstances(Supplier<List<String>> supplier) {
        instances = supplier;
    }

    private void serveList() {
        while (true) {
            try {
                Socket socket = listServer.accept();
                daemon("list-connection", () -> answerList(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void answerList(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (Message.read(in) != null) {
                String body = "{\"instances\":[" + String.join(",", instances.get()) + "],\"nextToken\":null}";
                out.write(Message.response(200, "application/json", body.getBytes(StandardCharsets.UTF_8)));
                out.flush();
            }
        } catch (IOException e) {
            // The caller has closed the connection.
        }
    }

    // The operator.

    /** Returns the status of a call, or 0 without a clear response. */
    int put(Machine machine, String document) {
        return send(machine, HttpRequest.newBuilder().POST(HttpRequest.BodyPublishers.ofString(document)), "Config.Put")
                .map(HttpResponse::statusCode)
                .findFirst()
                .orElse(0);
    }

    /** Returns the version that a machine reads back, -1 without a configuration, or -2 without a 200. */
    long read(Machine machine) {
        return send(machine, HttpRequest.newBuilder().GET(), "Config.Get")
                .filter(response -> response.statusCode() == 200)
                .map(response -> version(response.body()))
                .findFirst()
                .orElse(-2L);
    }

    private static long version(String document) {
        Matcher matcher = Pattern.compile("\"version\":(\\d+)").matcher(document);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
    }

    private Stream<HttpResponse<String>> send(Machine machine, HttpRequest.Builder request, String operation) {
        URI uri = URI.create("http://" + machine.ip + ":" + controlPort + "/api/" + operation);
        try {
            return Stream.of(client.send(
                    request.uri(uri).timeout(CALL_TIMEOUT).build(), HttpResponse.BodyHandlers.ofString()));
        } catch (IOException e) {
            return Stream.empty();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends the document to the machines in turn until one acknowledges it. */
    void publish(List<Machine> targets, String document, long timeMs) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeMs);
        for (int i = 0; System.nanoTime() - end < 0; i++) {
            Machine target = targets.get(i % targets.size());
            int status = put(target, document);
            if (status == 200) {
                log("operator: version %d sent to %s, acknowledged (200)", version(document), target.ip);
                return;
            }
            sleep(100);
        }
        throw new IllegalStateException("version " + version(document) + " was not acknowledged");
    }

    // Machines.

    /** Returns a machine with a disk that has not started yet. */
    Machine machine(int host, String zone) throws IOException {
        Machine machine = new Machine(host, zone);
        machines.add(machine);
        return machine;
    }

    private String command() throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        return matcher.group(1);
    }

    private void killAll() {
        machines.forEach(Machine::kill);
    }

    @Override
    public void close() throws IOException {
        killAll();
        listServer.close();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
        record.flush();
    }

    /** A machine with a disk that serves callers and control. */
    final class Machine {

        final int host;
        final String ip;
        final String zone;
        final Path disk;
        private final Path log;
        private volatile Process process;

        private Machine(int host, String zone) {
            this.host = host;
            this.ip = address(host);
            this.zone = zone;
            this.disk = folder.resolve("disk-" + host);
            this.log = folder.resolve("log-" + host);
        }

        void start(List<Machine> seeds, boolean isBootstrap) throws IOException {
            Files.createDirectories(disk);
            Path settings = folder.resolve("node-" + host + ".conf");
            Files.writeString(settings, settings(seeds, isBootstrap));
            List<String> words = new ArrayList<>();
            for (String word : command().split(" ")) {
                words.add(word.equals("/etc/chivehollow/node.conf") ? settings.toString() : word);
            }
            ProcessBuilder builder = new ProcessBuilder(words);
            builder.environment().put("CHIVEHOLLOW_CONFIG", settings.toString());
            builder.directory(repository.toFile());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            MachineRig.this.log("platform: %s starts", ip);
        }

        private String settings(List<Machine> seeds, boolean isBootstrap) throws IOException {
            Map<String, String> fields = new TreeMap<>(Map.of(
                    "ip", ip,
                    "zone", zone,
                    "internalPorts.0", "" + peerPort,
                    "listen.front", ip + ":" + frontPort,
                    "listen.ready", ip + ":" + readyPort,
                    "listen.control", ip + ":" + controlPort,
                    "cloud.addr", address(250) + ":" + listServer.getLocalPort(),
                    "dataDir", disk.toString()));
            fields.putAll(Map.of(
                    "limits.cpuShare", "0.675",
                    "limits.memoryMb", "280",
                    "limits.maxFds", "4100",
                    "limits.linkMbps", "1000.0",
                    "bounds.quotaSlack", "190000",
                    "bounds.retryRatio", "0.2",
                    "bounds.retrySlack", "62",
                    "bounds.retryWindowS", "10"));
            String text = Files.readString(repository.resolve("deploy/edge.json"));
            List<String> seedTexts = new ArrayList<>();
            seeds.forEach(seed -> seedTexts.add("\"" + seed.ip + ":" + controlPort + "\""));
            text = replaceSection(text, "#seeds", "seeds", String.join(",", seedTexts));
            text = replaceSection(text, "#bootstrap", "bootstrap", isBootstrap ? null : "");
            text = replaceSection(text, "^bootstrap", "bootstrap", isBootstrap ? "" : null);
            text = replaceSection(text, "#dataDir", "dataDir", null);
            for (Map.Entry<String, String> field : fields.entrySet()) {
                text = text.replace("{{" + field.getKey() + "}}", field.getValue());
            }
            return text.replace(":" + metricsPortOfTemplate() + "\"", ":" + metricsPort + "\"");
        }

        private String metricsPortOfTemplate() {
            return "9464";
        }

        /** Replaces a section of the template; a null text keeps its content. */
        private String replaceSection(String text, String opening, String name, String replacement) {
            Matcher matcher = Pattern.compile(
                            Pattern.quote("{{" + opening + "}}") + "(.*?)" + Pattern.quote("{{/" + name + "}}"),
                            Pattern.DOTALL)
                    .matcher(text);
            return matcher.replaceAll(result ->
                    Matcher.quoteReplacement(replacement == null ? result.group(1) : replacement));
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, readyPort), 500);
                socket.setSoTimeout(500);
                socket.getOutputStream()
                        .write("GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                Message response = Message.read(new BufferedInputStream(socket.getInputStream()));
                return response != null && response.firstLine.contains(" 200 ");
            } catch (IOException e) {
                return false;
            }
        }

        boolean isAlive() {
            Process current = process;
            return current != null && current.isAlive();
        }

        int exitCode() {
            return process.exitValue();
        }

        long pid() {
            return process.pid();
        }

        void signal(String name) {
            try {
                new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        /** Kills the process; a loss of power for files that were synced. */
        void kill() {
            Process current = process;
            if (current != null && current.isAlive()) {
                current.destroyForcibly();
                try {
                    current.waitFor();
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
        }

        /** Loses the disk: the machine restarts with an empty folder. */
        void loseDisk() throws IOException {
            try (Stream<Path> files = Files.walk(disk)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        }

        /** Returns what the process has written to its log so far. */
        String output() {
            try {
                return Files.exists(log) ? Files.readString(log) : "";
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** An HTTP message with a complete body. */
    static final class Message {

        final String firstLine;
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];

        private Message(String firstLine) {
            this.firstLine = firstLine;
        }

        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        /** Reads a message, or returns null at the end of the connection. */
        static Message read(InputStream in) throws IOException {
            String first = line(in);
            if (first == null) {
                return null;
            }
            Message message = new Message(first);
            for (String next = line(in); next != null && !next.isEmpty(); next = line(in)) {
                int colon = next.indexOf(':');
                message.fields.put(
                        next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
            }
            String length = message.field("Content-Length");
            if (length != null) {
                message.body = in.readNBytes(Integer.parseInt(length));
                if (message.body.length < Integer.parseInt(length)) {
                    throw new IOException("the body is incomplete");
                }
            } else if ("chunked".equalsIgnoreCase(message.field("Transfer-Encoding"))) {
                message.body = chunks(in);
            }
            return message;
        }

        private static byte[] chunks(InputStream in) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new IOException("the body is incomplete");
                }
                int bytes = Integer.parseInt(size.trim(), 16);
                body.write(in.readNBytes(bytes));
                line(in);
                if (bytes == 0) {
                    return body.toByteArray();
                }
            }
        }

        private static String line(InputStream in) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (int next = in.read(); next >= 0; next = in.read()) {
                if (next == '\n') {
                    String text = bytes.toString(StandardCharsets.ISO_8859_1);
                    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
                }
                bytes.write(next);
            }
            return null;
        }

        static byte[] response(int status, String type, byte[] body, String... fields) throws IOException {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\nContent-Type: " + type
                    + "\r\nContent-Length: " + body.length + "\r\n");
            for (String field : fields) {
                head.append(field).append("\r\n");
            }
            out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            return out.toByteArray();
        }
    }
}
