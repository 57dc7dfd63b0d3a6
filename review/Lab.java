import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: processes of the project, started with the command and the template of the
 * deploy file, a stand-in for the platform's list of runners, and a plain HTTP client.
 *
 * <p>Each machine has its own loopback address, because the id of an instance is its IP address and the internal port
 * is the same everywhere.
 */
final class Lab implements AutoCloseable {

    static final int PASSED = 0;
    static final int BROKEN = 1;
    static final int CANNOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final long startNanos = System.nanoTime();
    private final Path root;
    private final Path temporary;
    private final Path record;
    private final List<Edge> edges = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final List<AutoCloseable> servers = new ArrayList<>();
    private final Map<String, String> listed = new ConcurrentHashMap<>();
    private final String network;
    private final int internalPort;
    private final int frontPort;
    private final int readyPort;
    private final int controlPort;
    private final InetSocketAddress listAddress;
    private final List<String> seeds = new ArrayList<>();

    /** Creates a deployment whose record is written to the given folder; must run in the root of the project. */
    Lab(String caseFolder) throws IOException {
        Path folder = Path.of(caseFolder).toAbsolutePath();
        root = Path.of("").toAbsolutePath();
        record = folder.resolve("record.txt");
        Files.writeString(record, "");
        temporary = Files.createTempDirectory("review-");
        Random random = new Random();
        network = "127." + (16 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
        internalPort = freePort();
        frontPort = freePort();
        readyPort = freePort();
        controlPort = freePort();
        listAddress = startList();
        note("trouble " + (trouble ? "on" : "off"));
    }

    /** A process of the project on one machine. */
    static final class Edge {
        final String ip;
        final String zone;
        final InetSocketAddress front;
        final InetSocketAddress ready;
        final InetSocketAddress control;
        Process process;
        Path log;

        private Edge(String ip, String zone, int frontPort, int readyPort, int controlPort) {
            this.ip = ip;
            this.zone = zone;
            this.front = new InetSocketAddress(ip, frontPort);
            this.ready = new InetSocketAddress(ip, readyPort);
            this.control = new InetSocketAddress(ip, controlPort);
        }
    }

    /** Writes a line with the time in seconds since the start to the record. */
    synchronized void note(String text) {
        String line = String.format(Locale.ROOT, "%8.3f  %s%n", seconds(), text);
        System.out.print(line);
        try {
            Files.writeString(record, line, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Returns a loopback address of this deployment. */
    String ip(int host) {
        return network + host;
    }

    /** Starts the machines: those with a disk first, which are the seeds, one in each zone; then the others. */
    List<Edge> startEdges(int withDisk, int withoutDisk) throws IOException {
        for (int i = 0; i < withDisk + withoutDisk; i++) {
            edges.add(new Edge(ip(i + 1), "zone-" + (char) ('a' + i % 3), frontPort, readyPort, controlPort));
        }
        for (int i = 0; i < withDisk; i++) {
            seeds.add(edges.get(i).ip + ":" + controlPort);
        }
        for (int i = 0; i < edges.size(); i++) {
            start(edges.get(i), i < withDisk);
        }
        return edges;
    }

    private void start(Edge edge, boolean hasDisk) throws IOException {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("ip", edge.ip);
        values.put("zone", edge.zone);
        values.put("internalPorts.0", String.valueOf(internalPort));
        values.put("listen.front", edge.ip + ":" + frontPort);
        values.put("listen.ready", edge.ip + ":" + readyPort);
        values.put("listen.control", edge.ip + ":" + controlPort);
        values.put("cloud.addr", listAddress.getHostString() + ":" + listAddress.getPort());
        values.put("bounds.quotaSlack", "190000");
        values.put("bounds.retryRatio", "0.2");
        values.put("bounds.retrySlack", "58");
        values.put("bounds.retryWindowS", "10");
        if (hasDisk) {
            Path data = Files.createDirectories(temporary.resolve("data-" + edge.ip));
            values.put("dataDir", data.toString());
            values.put("bootstrap", "true");
        }
        Path settings = temporary.resolve(edge.ip + ".conf");
        Files.writeString(settings, fill(Files.readString(root.resolve(deployValue("template"))), values));
        List<String> command = new ArrayList<>(List.of(deployValue("run").split(" ")));
        command.replaceAll(word -> word.equals("/etc/chivehollow/node.conf") ? settings.toString() : word);
        edge.log = temporary.resolve(edge.ip + ".log");
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("CHIVEHOLLOW_CONFIG", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(edge.log.toFile());
        edge.process = builder.start();
        processes.add(edge.process);
    }

    private String deployValue(String key) throws IOException {
        Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IOException("deploy/system.toml has no " + key);
        }
        return matcher.group(1);
    }

    /** Fills the template in; supports the placeholders and sections that the project's template uses. */
    private String fill(String template, Map<String, String> values) {
        String text = template;
        Pattern section = Pattern.compile("(?s)\\{\\{([#^])([A-Za-z.]+)}}(.*?)\\{\\{/\\2}}");
        for (Matcher matcher = section.matcher(text); matcher.find(); matcher = section.matcher(text)) {
            String name = matcher.group(2);
            String body = matcher.group(3);
            String result;
            if (name.equals("seeds")) {
                List<String> parts = new ArrayList<>();
                seeds.forEach(seed -> parts.add(body.replace("{{.}}", seed).replace("{{,}}", "")));
                result = String.join(",", parts);
            } else {
                result = values.containsKey(name) == matcher.group(1).equals("#") ? body : "";
            }
            text = text.substring(0, matcher.start()) + result + text.substring(matcher.end());
        }
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        return text;
    }

    /** Starts another program of the stand-ins as a process. */
    Process startStandIn(String... mainAndArguments) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx64m", "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(mainAndArguments));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.redirectError(temporary.resolve("standin.log").toFile());
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    static void signal(Process process, String name) throws IOException {
        try {
            int code = new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid())
                    .inheritIO()
                    .start()
                    .waitFor();
            if (code != 0) {
                throw new IOException("kill -" + name + " failed");
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Lists a runner, or changes its entry. */
    void list(String id, String service, InetSocketAddress address, String zone, String state, String stage) {
        listed.put(
                id,
                "{\"service\":\"" + service + "\",\"addr\":\"" + address.getHostString() + ":" + address.getPort()
                        + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + state
                        + "\",\"coldLeftMs\":0," + (stage.isEmpty() ? "" : "\"stage\":\"" + stage + "\",")
                        + "\"models\":[],\"id\":\"" + id + "\"}");
    }

    /** Lists an entry of any bytes. */
    void listRaw(String id, String entry) {
        listed.put(id, entry);
    }

    private InetSocketAddress startList() throws IOException {
        return serve(new InetSocketAddress("127.0.0.1", 0), (request, out, connection) -> {
            String body = "{\"instances\":[" + String.join(",", listed.values()) + "],\"nextToken\":null}";
            writeResponse(out, 200, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8));
        });
    }

    /** A received request. */
    record Request(String line, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** Responds to one request; may close the connection. */
    interface Script {
        void respond(Request request, OutputStream out, Socket connection) throws IOException;
    }

    /** Starts a server that runs the script for each request. */
    InetSocketAddress serve(InetSocketAddress address, Script script) throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(address, 128);
        servers.add(server);
        startServer(server, script);
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    static void startServer(ServerSocket server, Script script) {
        daemon(() -> {
            try {
                while (true) {
                    Socket connection = server.accept();
                    connection.setTcpNoDelay(true);
                    daemon(() -> serveConnection(connection, script));
                }
            } catch (IOException e) {
                // The server was closed.
            }
        });
    }

    private static void serveConnection(Socket connection, Script script) {
        try (connection) {
            InputStream in = connection.getInputStream();
            for (Request request = readRequest(in); request != null; request = readRequest(in)) {
                script.respond(request, connection.getOutputStream(), connection);
            }
        } catch (IOException e) {
            // The peer has closed the connection.
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static Request readRequest(InputStream in) throws IOException {
        String head = readHead(in);
        if (head == null) {
            return null;
        }
        String[] lines = head.split("\r\n");
        Map<String, String> headers = headers(lines);
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Request(lines[0], headers, in.readNBytes(length));
    }

    private static Map<String, String> headers(String[] lines) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).strip());
        }
        return headers;
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
            matched = next == (matched % 2 == 0 ? '\r' : '\n') ? matched + 1 : (next == '\r' ? 1 : 0);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    static void writeResponse(OutputStream out, int status, String headers, byte[] body) throws IOException {
        out.write(("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    /**
     * A response as a client sees it.
     *
     * @param status the status, 0 if no complete head arrived
     * @param isComplete whether the body is complete according to its length or its chunks
     * @param failure why no complete response arrived, or an empty text
     */
    record Response(int status, Map<String, String> headers, String body, boolean isComplete, String failure) {}

    static Response call(InetSocketAddress to, String method, String path, String headers, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(to, Math.min(timeoutMs, 1_000));
            return exchange(socket, method, path, headers + "Connection: close\r\n", body, timeoutMs);
        } catch (IOException e) {
            return new Response(0, Map.of(), "", false, e.toString());
        }
    }

    /** Sends a request on an open connection and reads the response. */
    static Response exchange(Socket socket, String method, String path, String headers, byte[] body, int timeoutMs) {
        int status = 0;
        Map<String, String> received = Map.of();
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        try {
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            out.write((method + " " + path + " HTTP/1.1\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            InputStream in = socket.getInputStream();
            String head = readHead(in);
            if (head == null) {
                return new Response(0, received, "", false, "connection closed without a response");
            }
            String[] lines = head.split("\r\n");
            status = Integer.parseInt(lines[0].split(" ")[1]);
            received = headers(lines);
            boolean isComplete = readBody(in, received, content);
            return new Response(
                    status,
                    received,
                    content.toString(StandardCharsets.UTF_8),
                    isComplete,
                    isComplete ? "" : "the body is incomplete");
        } catch (IOException e) {
            return new Response(status, received, content.toString(StandardCharsets.UTF_8), false, e.toString());
        }
    }

    private static boolean readBody(InputStream in, Map<String, String> headers, ByteArrayOutputStream content)
            throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            while (true) {
                StringBuilder line = new StringBuilder();
                int next = in.read();
                while (next >= 0 && next != '\n') {
                    line.append((char) next);
                    next = in.read();
                }
                if (next < 0) {
                    return false;
                }
                int size = Integer.parseInt(line.toString().strip(), 16);
                byte[] chunk = in.readNBytes(size);
                content.write(chunk);
                if (chunk.length < size || in.readNBytes(2).length < 2) {
                    return false;
                }
                if (size == 0) {
                    return true;
                }
            }
        }
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            byte[] bytes = in.readNBytes(length);
            content.write(bytes);
            return bytes.length == length;
        }
        content.write(in.readAllBytes());
        return true;
    }

    /** Sends an order like the operator: each node has a second to respond, then the next one is asked. */
    boolean order(String path, String body, Edge... nodes) {
        for (int attempt = 0; attempt < 8; attempt++) {
            Edge node = nodes[attempt % nodes.length];
            Response response = call(
                    node.control,
                    "POST",
                    path,
                    "Host: control\r\nContent-Type: application/json\r\n",
                    body.getBytes(StandardCharsets.UTF_8),
                    1_000);
            note("operator: POST " + path + " to " + node.ip + ": "
                    + (response.status == 0 ? response.failure : "status " + response.status));
            if (response.status == 200) {
                return true;
            }
            sleep(100L * (attempt + 1));
        }
        return false;
    }

    /** Waits until all machines count as ready; before that, sends the configuration until it is accepted. */
    void begin(String configuration) throws IOException {
        long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
        boolean isPublished = false;
        while (System.nanoTime() < limit) {
            if (!isPublished) {
                isPublished = call(
                                        edges.get(0).control,
                                        "POST",
                                        "/api/Config.Put",
                                        "Host: control\r\nContent-Type: application/json\r\n",
                                        configuration.getBytes(StandardCharsets.UTF_8),
                                        1_000)
                                .status
                        == 200;
            }
            if (isPublished
                    && edges.stream()
                            .allMatch(edge -> call(edge.ready, "GET", "/api/readyz", "Host: x\r\n", new byte[0], 500)
                                            .status
                                    == 200)) {
                note("all machines are ready");
                sleep(4_000);
                return;
            }
            sleep(200);
        }
        for (Edge edge : edges) {
            note("last lines of " + edge.ip + ": " + tail(edge.log));
        }
        throw new IOException("the machines did not become ready");
    }

    static String tail(Path log) throws IOException {
        String text = Files.exists(log) ? Files.readString(log) : "";
        return text.substring(Math.max(0, text.length() - 1_500));
    }

    @Override
    public void close() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        for (AutoCloseable server : servers) {
            try {
                server.close();
            } catch (Exception e) {
                System.err.println("Cannot close a server: " + e);
            }
        }
        if (System.getenv("KEEP_LOGS") == null) {
            delete(temporary);
        } else {
            System.out.println("logs: " + temporary);
        }
    }

    private static void delete(Path folder) {
        try (var paths = Files.walk(folder)) {
            for (Path path : paths.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException e) {
            System.err.println("Cannot delete " + folder + ": " + e);
        }
    }

    /** A case; returns the exit code. */
    interface Play {
        int run(Lab lab) throws Exception;
    }

    /** Runs the case, writes its result and ends the process with its exit code. */
    static void play(String caseFolder, Play play) {
        int code = CANNOT_RUN;
        Lab opened = null;
        try (Lab lab = new Lab(caseFolder)) {
            opened = lab;
            Runtime.getRuntime().addShutdownHook(new Thread(() -> lab.processes.forEach(Process::destroyForcibly)));
            code = play.run(lab);
            lab.note("result " + code + (code == BROKEN ? ": the rule was broken" : code == PASSED ? ": the rule held" : ""));
        } catch (Exception e) {
            if (opened != null) {
                opened.note("the case could not run: " + e);
            }
            e.printStackTrace();
        }
        System.exit(code);
    }
}
