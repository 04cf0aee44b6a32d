import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What the cases share: a small deployment on loopback addresses with one sidecar, and the record of a run. */
final class Rig {

    /** Whether the disruption is on; the environment variable TROUBLE=0 turns it off. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    final Path root;
    final Path temp;
    final List<Node> nodes = new ArrayList<>();
    final Agent agent;
    private final PrintWriter record;
    private final long startedNs = System.nanoTime();
    private Process sidecar;
    int sidecarPort;
    long sidecarPid;
    /** The classes of the settings, as the items of a JSON array. */
    String classes = """
            {"name":"quote-preview","effect":"repeatable","group":"all","slo-ms":2000,"hard-limit-ms":5000,
             "worth":5,"late-worth":0,"memory-span-ms":5000,"stream":false},
            {"name":"quote-issue","effect":"by_key","group":"cell","slo-ms":2500,"hard-limit-ms":6000,
             "worth":8,"late-worth":0,"memory-span-ms":10000,"stream":false},
            {"name":"quote-once","effect":"once","group":"all","slo-ms":2500,"hard-limit-ms":6000,
             "worth":8,"late-worth":0,"memory-span-ms":10000,"stream":false}""";

    int sockets = 1024;
    /** The list that the configuration names, or null for that of the agent. */
    String known;

    Rig(Path folder) throws IOException {
        root = folder.toAbsolutePath().getParent().getParent();
        temp = Path.of(System.getenv("CASE_TEMP"));
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        agent = new Agent();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killSidecar));
        note("run with TROUBLE=" + (TROUBLE ? 1 : 0));
    }

    /** What a case does; it ends by {@link #end}. */
    interface Case {
        void run(Rig rig) throws Exception;
    }

    /** Runs a case; a fault of the case itself counts as not run. */
    static void run(String[] arguments, Case body) {
        Rig rig = null;
        try {
            rig = new Rig(Path.of(arguments[0]));
            body.run(rig);
            rig.end(NOT_RUN, "the case has ended without a verdict");
        } catch (Throwable e) {
            if (rig == null) {
                e.printStackTrace();
                Runtime.getRuntime().halt(NOT_RUN);
            }
            rig.end(NOT_RUN, e.toString());
        }
    }

    /** Returns the time since the start of the run in milliseconds. */
    long now() {
        return (System.nanoTime() - startedNs) / 1_000_000;
    }

    synchronized void note(String line) {
        record.printf(Locale.ROOT, "%8.3f s  %s%n", now() / 1000.0, line);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    // ---- the sidecar ----

    /** Starts the sidecar by the deploy file's command and waits until it says that it is ready. */
    void startSidecar() throws IOException, InterruptedException {
        sidecarPort = freePort();
        Path config = temp.resolve("config.json");
        Files.writeString(config, config());
        Path state = Files.createDirectories(temp.resolve("state"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand())
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(temp.resolve("sidecar.log").toFile());
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("GW_NAME", "n1");
        builder.environment().put("GW_LISTEN", "127.0.0.1:" + sidecarPort);
        builder.environment().put("GW_DISCOVERY", "127.0.0.1:" + agent.port());
        builder.environment().put("TMPDIR", state.toString());
        sidecar = builder.start();
        sidecarPid = sidecar.pid();
        long limit = now() + 30_000;
        while (now() < limit && sidecar.isAlive()) {
            if (isReady()) {
                note("the sidecar n1 is ready");
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException("the sidecar did not become ready: " + sidecarLog());
    }

    String sidecarLog() throws IOException {
        return Files.readString(temp.resolve("sidecar.log"));
    }

    boolean isReady() {
        try (Client client = connect()) {
            client.send("GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
            client.socket.setSoTimeout(1000);
            return client.readAnswer().status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no run command");
    }

    private String config() {
        return """
            {"name":"n1","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
             "known":%s,
             "settings":{"azs":["ub-room-1"],"models":["front-std","front-slow"],
              "classes":[%s],
              "clients":{"marks-retry":true},"counted-by":"request","family":"chain",
              "layers":["quote-front","pricing","rate-tables"],
              "limits":{"cancel":true,"dial-timeout-ms":250,"idle-close-ms":30000,"max-retry-after-ms":2000,
               "most-held":20000,"multiplex":1,"parallel-tries":false,"probes":true,"retry-after":true,"try-limit":4},
              "load-info":{"columns":[],"how":"silent"},"membership-mode":"pushed","over-share-worth":0.2,
              "prices":{},"projects":[],"replicas-of-me":1,
              "rules":{"answer-slack-ms":20,"ask-within-ms":10000,"cold-ms":24000,"cold-share":0.13,
               "drain-grace-ms":1000,"fall-ms":3000,"tip-multiple":3},
              "slot-no":0,"tick-ms":5,"tier":0,"weight-kind":"silent","zone":0}}
            """
                .formatted(sidecarPort, agent.port(), sockets, known == null ? agent.list() : known, classes);
    }

    boolean sidecarRuns() {
        return sidecar != null && sidecar.isAlive();
    }

    /** Sends SIGTERM to the sidecar. */
    void terminateSidecar() {
        note("SIGTERM to the sidecar");
        sidecar.destroy();
    }

    void killSidecar() {
        if (sidecar != null && sidecar.isAlive()) {
            sidecar.destroyForcibly();
            try {
                sidecar.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Ends the run with a verdict. */
    void end(int code, String verdict) {
        note(code == HELD ? "HELD: " + verdict : code == BROKEN ? "BROKEN: " + verdict : "NOT RUN: " + verdict);
        System.out.println(verdict);
        killSidecar();
        record.close();
        Runtime.getRuntime().halt(code);
    }

    // ---- messages ----

    /** The head of a message and, if it was read, its body. */
    static final class Message {
        String first = "";
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        /** The connection on which it came, behind the message; set by endpoints. */
        InputStream rest;

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        long length() {
            return header("content-length").isEmpty() ? -1 : Long.parseLong(header("content-length"));
        }

        boolean isChunked() {
            return header("transfer-encoding").equalsIgnoreCase("chunked");
        }
    }

    /** Reads a line without its line end; throws at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("the connection ended in a line");
            }
            line.write(c);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.first = readLine(in);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        if (message.first.startsWith("HTTP/")) {
            message.status = Integer.parseInt(message.first.split(" ")[1]);
        }
        return message;
    }

    static byte[] readBody(InputStream in, Message head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.isChunked()) {
            while (true) {
                int size = Integer.parseInt(readLine(in).trim(), 16);
                if (size == 0) {
                    readLine(in);
                    return body.toByteArray();
                }
                body.write(in.readNBytes(size));
                readLine(in);
            }
        }
        long length = Math.max(0, head.length());
        byte[] bytes = in.readNBytes((int) length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    // ---- endpoints ----

    /** What an endpoint does with a request that it has read. */
    interface Behaviour {
        /** Answers; returns whether the connection stays open. */
        boolean answer(Node node, Message request, OutputStream out) throws IOException, InterruptedException;

        /** Called when the head of a request has come, before its body. */
        default void onHead(Node node, Message request) {}
    }

    /** An endpoint: a process of the tier that the sidecar balances for. */
    final class Node {
        final String id;
        final ServerSocket listener;
        final Behaviour behaviour;
        volatile String state = "in_service";
        private volatile boolean vanished;
        private final List<Socket> fillers = new ArrayList<>();
        private final Thread acceptor;

        Node(String id, Behaviour behaviour) throws IOException {
            this.id = id;
            this.behaviour = behaviour;
            listener = new ServerSocket(0, 4, InetAddress.getByName("127.0.0.1"));
            acceptor = daemon("endpoint " + id, () -> {
                while (true) {
                    Socket socket = listener.accept();
                    if (vanished) {
                        fillers.add(socket);
                        return;
                    }
                    daemon("connection of " + id, () -> serve(socket));
                }
            });
        }

        /** The machine goes silent: from now on no connection comes up, because the listener's queue stays full. */
        void vanish() throws IOException, InterruptedException {
            vanished = true;
            connectFiller();
            acceptor.join(5000);
            int refused = 0;
            for (int i = 0; i < 24 && refused < 2; i++) {
                refused = connectFiller() ? 0 : refused + 1;
            }
            if (acceptor.isAlive() || refused < 2) {
                throw new IOException("the queue of endpoint " + id + " does not fill up");
            }
            note("endpoint " + id + " has gone silent: new connections don't come up");
        }

        /** Tries to take a place in the listener's queue; returns false if there is none. */
        private boolean connectFiller() {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(listener.getLocalSocketAddress(), 300);
                return true;
            } catch (IOException e) {
                return false;
            }
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
                OutputStream out = socket.getOutputStream();
                boolean open = true;
                while (open) {
                    Message request;
                    try {
                        request = readHead(in);
                        request.rest = in;
                    } catch (IOException e) {
                        return;
                    }
                    String name = request.first + ", id " + request.header("x-request-id");
                    note("endpoint " + id + ": head of " + name + ", X-Deadline-Ms " + request.header("x-deadline-ms"));
                    behaviour.onHead(this, request);
                    try {
                        request.body = readBody(in, request);
                    } catch (IOException e) {
                        note("endpoint " + id + ": " + name + " came to no end: " + e.getMessage());
                        return;
                    }
                    note("endpoint " + id + " runs " + name + ", body " + request.body.length + " bytes");
                    open = behaviour.answer(this, request, out);
                }
            } catch (IOException e) {
                note("endpoint " + id + ": connection ended: " + e.getMessage());
            }
        }
    }

    Node addNode(String id, Behaviour behaviour) throws IOException {
        Node node = new Node(id, behaviour);
        nodes.add(node);
        return node;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    static void writeAnswer(OutputStream out, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    // ---- discovery ----

    /** The agent of discovery on the sidecar's machine. */
    final class Agent {
        private final ServerSocket listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        private int version = 41;

        Agent() throws IOException {
            daemon("agent", () -> {
                while (true) {
                    Socket socket = listener.accept();
                    daemon("watch", () -> serve(socket));
                }
            });
        }

        int port() {
            return listener.getLocalPort();
        }

        String list() {
            StringBuilder servers = new StringBuilder();
            for (Node node : nodes) {
                servers.append(servers.length() == 0 ? "" : ",")
                        .append("{\"id\":\"" + node.id + "\",\"addr\":\"127.0.0.1:" + node.listener.getLocalPort()
                                + "\",\"zone\":\"ub-room-1\",\"kind\":\"front-std\",\"cell\":0,\"state\":\""
                                + node.state + "\",\"weight\":1.0,\"started_ms\":0}");
            }
            return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + servers + "]}";
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Message call = readHead(in);
                    int at = call.first.indexOf("wait=");
                    if (at >= 0) {
                        String wait = call.first.substring(at + 5).split("[& ]")[0];
                        int index = Integer.parseInt(
                                call.first.substring(call.first.indexOf("index=") + 6).split("[& ]")[0]);
                        if (index >= version) {
                            Thread.sleep(Math.min(60_000, Integer.parseInt(wait)));
                        }
                    }
                    byte[] body = ascii(
                            at >= 0 ? "{\"version\":" + version + ",\"full\":false,\"servers\":[]}" : list());
                    socket.getOutputStream()
                            .write(ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                    + body.length + "\r\n\r\n" + new String(body, StandardCharsets.US_ASCII)));
                }
            } catch (IOException e) {
                // The sidecar has closed its watch.
            }
        }
    }

    // ---- clients ----

    /** A connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Client(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
            out = socket.getOutputStream();
        }

        void send(String text) throws IOException {
            out.write(ascii(text));
            out.flush();
        }

        Message readAnswer() throws IOException {
            Message answer = readHead(in);
            answer.body = readBody(in, answer);
            return answer;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    Client connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", sidecarPort), 2000);
        return new Client(socket);
    }

    /** Returns the head of a request in the form of the protocol page, up to the empty line. */
    static String head(String method, String id, String requestClass, int deadlineMs, String more) {
        return method + " /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: " + id + "\r\nX-Class: " + requestClass
                + "\r\nX-Tenant: ulaanbaatar-central\r\nX-Deadline-Ms: " + deadlineMs + "\r\n" + more + "\r\n";
    }

    // ---- threads ----

    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception e) {
                if (System.getenv("CASE_DEBUG") != null) {
                    e.printStackTrace();
                }
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
