import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * Starts a small deployment of the project on loopback addresses for the cases of the second review: processes with the
 * command of the deploy file, a stand-in of the platform's list, stand-ins of runners, and an operator.
 *
 * <p>Each machine has a loopback address of its own. Nothing is shared with the project's classes.
 */
final class Rig implements AutoCloseable {

    static final long START = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Path folder = Files.createTempDirectory("chivehollow-review");
    final PrintWriter log;
    final List<Machine> machines = new ArrayList<>();
    final List<Machine> seeds = new ArrayList<>();
    final List<Machine> all = new ArrayList<>();
    final List<Runner> runners = Collections.synchronizedList(new ArrayList<>());
    final ServerSocket list;
    final int front = freePort();
    final int ready = freePort();
    final int control = freePort();
    final int peer = freePort();
    final int metrics = freePort();

    /** Bytes of another writer among the entries of the list. */
    volatile String foreignEntry = "";
    private int machineCount;

    Rig(Path caseFolder) throws IOException {
        log = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        list = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        thread(() -> accept(list, this::serveList));
    }

    /** What a case does with the deployment; returns 0 if the rule held and 1 if it was broken. */
    interface Case {
        int run(Rig rig) throws Exception;
    }

    /** Longest time of a case in ms, with the end of its processes. */
    private static final long LIMIT_MS = 112_000;

    /** Runs a case and exits with its result, or with 2 if it could not run. */
    static void main(String[] arguments, Case body) {
        int result = 2;
        try (Rig rig = new Rig(Path.of(arguments[0]))) {
            Thread.currentThread().setName("case");
            Thread hook = new Thread(rig::end);
            Runtime.getRuntime().addShutdownHook(hook);
            thread(() -> {
                sleep(LIMIT_MS);
                rig.note("the case takes too long; result 2");
                System.exit(2);
            });
            result = body.run(rig);
            rig.note("result " + result);
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    static long ms() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START);
    }

    synchronized void note(String text) {
        log.printf("%7d %s%n", ms(), text);
    }

    static void sleep(long timeMs) {
        try {
            Thread.sleep(Math.max(0, timeMs));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread thread(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    interface Served {
        void serve(Socket socket) throws IOException;
    }

    static void accept(ServerSocket server, Served served) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                thread(() -> {
                    try (socket) {
                        served.serve(socket);
                    } catch (IOException e) {
                        // The peer has closed the connection.
                    }
                });
            } catch (IOException e) {
                return;
            }
        }
    }

    // The platform's list.

    private void serveList(Socket socket) throws IOException {
        Message.read(socket.getInputStream());
        StringBuilder entries = new StringBuilder(foreignEntry);
        synchronized (runners) {
            for (Runner runner : runners) {
                if (runner.isListed) {
                    entries.append(entries.length() == 0 ? "" : ",").append(runner.entry());
                }
            }
        }
        write(socket, 200, "Content-Type: application/json\r\nConnection: close\r\n",
                "{\"instances\":[" + entries + "],\"nextToken\":null}");
    }

    static void write(Socket socket, int status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        byte[] head = ("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head);
        all.write(bytes);
        socket.getOutputStream().write(all.toByteArray());
        socket.getOutputStream().flush();
    }

    // Machines of the system.

    /** Adds the machines of a system that starts for the first time; they start with {@link Machine#start}. */
    void addMachines(int count) {
        for (int i = 0; i < count; i++) {
            addMachine("zone-" + (char) ('a' + i % 3)).isBootstrap = true;
        }
        seeds.addAll(machines.subList(0, Math.min(3, machines.size())));
    }

    /** Adds a machine with an empty disk at an address of its own. */
    Machine addMachine(String zone) {
        int base = 20 + (int) (ProcessHandle.current().pid() % 200);
        machineCount++;
        Machine machine = new Machine("127." + base + "." + machineCount + ".1", zone);
        machines.add(machine);
        return machine;
    }

    final class Machine {
        final String ip;
        final String zone;
        final Path data;
        Process process;
        boolean isBootstrap;

        Machine(String ip, String zone) {
            this.ip = ip;
            this.zone = zone;
            this.data = folder.resolve("data-" + ip);
            all.add(this);
        }

        Path settings() {
            return folder.resolve(ip + ".json");
        }

        /** Writes the settings as the template of the deploy file gives them for a small deployment. */
        void writeSettings() throws IOException {
            StringBuilder seedList = new StringBuilder();
            for (Machine machine : Rig.this.seeds) {
                seedList.append(seedList.length() == 0 ? "" : ",").append('"').append(machine.ip).append(':')
                        .append(control).append('"');
            }
            Map<String, String> values = new TreeMap<>();
            values.put("{{ip}}", ip);
            values.put("{{zone}}", zone);
            values.put("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seedList.toString());
            values.put("{{internalPorts.0}}", "" + peer);
            values.put("{{limits.cpuShare}}", "0.675");
            values.put("{{limits.memoryMb}}", "280");
            values.put("{{limits.maxFds}}", "4100");
            values.put("{{limits.linkMbps}}", "1000.0");
            values.put("{{listen.front}}", ip + ":" + front);
            values.put("{{listen.ready}}", ip + ":" + ready);
            values.put("{{listen.control}}", ip + ":" + control);
            values.put("{{cloud.addr}}", "127.0.0.1:" + list.getLocalPort());
            values.put("{{bounds.quotaSlack}}", "190000");
            values.put("{{bounds.retryRatio}}", "0.2");
            values.put("{{bounds.retrySlack}}", "62");
            values.put("{{bounds.retryWindowS}}", "10");
            values.put("{{#dataDir}}", "");
            values.put("{{/dataDir}}", "");
            values.put("{{dataDir}}", data.toString());
            values.put("{{#bootstrap}}automatic{{/bootstrap}}{{^bootstrap}}automatic_later{{/bootstrap}}",
                    isBootstrap ? "automatic" : "automatic_later");
            String text = Files.readString(Path.of("deploy/edge.json"));
            for (Map.Entry<String, String> value : values.entrySet()) {
                text = text.replace(value.getKey(), value.getValue());
            }
            // The metrics have a fixed port in the template.
            text = text.replace(ip + ":9464", ip + ":" + metrics);
            if (text.contains("{{")) {
                throw new IllegalStateException("placeholder left in the settings: " + text);
            }
            Files.writeString(settings(), text);
        }

        void start() throws IOException {
            writeSettings();
            Files.createDirectories(data);
            List<String> command = new ArrayList<>();
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith("run = ")) {
                    command.addAll(List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
                }
            }
            command.set(command.size() - 1, settings().toString());
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(ip + ".log").toFile()));
            process = builder.start();
            note("machine " + ip + " starts");
        }

        void signal(String name) throws IOException {
            try {
                // The shell's own command; a machine may have no program of this name.
                new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            note("machine " + ip + " gets SIG" + name);
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, ready), 500);
                socket.setSoTimeout(500);
                send(socket, "GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
                return Message.read(socket.getInputStream()).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        Socket connect() throws IOException {
            Socket socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(ip, front), 1_000);
            return socket;
        }

        /** Sends one call of the operator and returns the answer. */
        Message operator(String method, String path, String body, int timeoutMs) throws IOException {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, control), 1_000);
                socket.setSoTimeout(timeoutMs);
                send(socket, method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
                return Message.read(socket.getInputStream());
            }
        }
    }

    /** Sends a configuration until it is acknowledged. */
    void publish(String configuration) throws IOException {
        for (int i = 0; i < 200; i++) {
            Machine machine = machines.get(i % machines.size());
            try {
                int status = machine.operator("POST", "/api/Config.Put", configuration, 1_000).status();
                if (status == 200) {
                    note("configuration acknowledged by " + machine.ip);
                    return;
                }
                if (status >= 400 && status < 500) {
                    throw new IllegalStateException("the configuration is refused with " + status);
                }
            } catch (IOException e) {
                // Sent again to the next machine.
            }
            sleep(100);
        }
        throw new IllegalStateException("no machine acknowledges the configuration");
    }

    void awaitReady() {
        for (int i = 0; i < 300; i++) {
            if (machines.stream().allMatch(Machine::isReady)) {
                note("all machines are ready");
                return;
            }
            sleep(100);
        }
        throw new IllegalStateException("the machines do not become ready");
    }

    static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    // Runners.

    /** A runner of an ordinary service that keeps its connections open. */
    static class Runner {
        final Rig rig;
        final String id;
        final String service;
        final String zone;
        final ServerSocket server;
        final String address;
        final AtomicInteger running = new AtomicInteger();
        final List<Socket> connections = Collections.synchronizedList(new ArrayList<>());
        volatile boolean isListed = true;
        volatile String state = "ready";
        volatile Function<Message, Integer> workMs = request -> 20;

        Runner(Rig rig, String id, String service, String zone) throws IOException {
            this(rig, id, service, zone, 0);
        }

        /** Starts a runner at the port, or at a free one if it is 0. */
        Runner(Rig rig, String id, String service, String zone, int port) throws IOException {
            this.rig = rig;
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
            this.address = "127.0.0.1:" + server.getLocalPort();
            rig.runners.add(this);
            thread(() -> accept(server, socket -> {
                connections.add(socket);
                serve(socket);
            }));
        }

        /** Ends the runner with all its connections; its entry stays on the list. */
        void crash() throws IOException {
            server.close();
            for (Socket socket : List.copyOf(connections)) {
                socket.close();
            }
            rig.note("runner " + id + " at " + address + " has crashed");
        }

        int port() {
            return server.getLocalPort();
        }

        String entry() {
            return "{\"service\":\"" + service + "\",\"addr\":\"" + address + "\",\"zone\":\"" + zone
                    + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state + "\",\"coldLeftMs\":0,\"id\":\"" + id
                    + "\"}";
        }

        void serve(Socket socket) throws IOException {
            InputStream in = socket.getInputStream();
            while (true) {
                Message request = Message.read(in);
                if (!answer(socket, request)) {
                    return;
                }
            }
        }

        /** Answers the request; returns whether the connection stays open. */
        boolean answer(Socket socket, Message request) throws IOException {
            String requestId = request.header("x-request-id");
            String common = "X-Instance: " + id + "\r\nKeep-Alive: timeout=5\r\n"
                    + (requestId == null ? "" : "X-Request-Id: " + requestId + "\r\n");
            String expected = request.header("x-expect-instance");
            if (expected != null && !expected.equals(id)) {
                write(socket, 421, common + "X-Not-Run: 1\r\n", "");
                return true;
            }
            if (request.path().equals("/healthz") || request.path().startsWith("/api/")) {
                write(socket, 200, common, "{}");
                return true;
            }
            running.incrementAndGet();
            rig.note("runner " + id + " runs " + requestId + " " + request.first);
            sleep(workMs.apply(request));
            running.decrementAndGet();
            write(socket, 200, common + "X-Server-Stamp: " + stamp(requestId) + "\r\nX-Load: " + running.get()
                    + ",0,6\r\n", "answer to " + requestId);
            rig.note("runner " + id + " has answered " + requestId);
            return true;
        }

        String stamp(String requestId) {
            return id + "." + requestId;
        }
    }

    /** The head and the body of a request or a response. */
    static final class Message {
        final String first;
        final Map<String, String> headers = new TreeMap<>();
        byte[] body = new byte[0];

        private Message(String first) {
            this.first = first;
        }

        static Message read(InputStream in) throws IOException {
            Message message = new Message(line(in));
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
            }
            if (message.headers.containsKey("content-length")) {
                message.body = exactly(in, Integer.parseInt(message.headers.get("content-length")));
            } else if ("chunked".equals(message.headers.get("transfer-encoding"))) {
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                for (int size = size(in); size > 0; size = size(in)) {
                    all.write(exactly(in, size));
                    line(in);
                }
                line(in);
                message.body = all.toByteArray();
            }
            return message;
        }

        private static byte[] exactly(InputStream in, int size) throws IOException {
            byte[] bytes = in.readNBytes(size);
            if (bytes.length < size) {
                throw new EOFException("connection closed within a body");
            }
            return bytes;
        }

        private static int size(InputStream in) throws IOException {
            return Integer.parseInt(line(in), 16);
        }

        static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    throw new EOFException("connection closed");
                }
                if (next != '\r') {
                    line.append((char) next);
                }
            }
            return line.toString();
        }

        String header(String name) {
            return headers.get(name);
        }

        String path() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Ends the processes that this case has started. */
    private void end() {
        for (Machine machine : all) {
            if (machine.process != null) {
                machine.process.destroyForcibly();
            }
        }
        for (Machine machine : all) {
            try {
                if (machine.process != null) {
                    machine.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        end();
        // For the reader of a case: keeps the logs of the processes.
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) {
            for (Machine machine : all) {
                Path from = folder.resolve(machine.ip + ".log");
                if (Files.exists(from)) {
                    Files.copy(from, Path.of(keep, machine.ip + ".log"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
            }
        }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
        log.close();
    }
}
