import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** One sidecar, started as a process by the command {@code run} of the deploy file, as the platform does. */
final class Sidecar {

    final int port;
    private final Process process;
    private final Path log;

    /**
     * Starts a sidecar.
     *
     * @param known the list of endpoints that the platform hands over
     */
    Sidecar(Path root, Path folder, String name, Agent agent, String known, Deployment deployment) throws IOException {
        Path temporary = Files.createDirectories(folder.resolve(name + "-tmp"));
        port = freePort();
        log = folder.resolve(name + ".log");
        Path config = folder.resolve(name + ".json");
        Files.writeString(config, config(name, agent, known, deployment));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(root)).directory(root.toFile());
        builder.environment().put("GW_NAME", name);
        builder.environment().put("GW_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("GW_DISCOVERY", agent.address());
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Returns the command {@code run} of the deploy file. */
    static String runCommand(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IOException("the deploy file has no command run");
    }

    private String config(String name, Agent agent, String known, Deployment deployment) {
        return ("{'name':'" + name + "','listen':'127.0.0.1:" + port + "','discovery':'" + agent.address()
                        + "','seed':'8c1f30d27a5be964','limits':{'cores':1.0,'memory_mb':192,'sockets':1024},'known':")
                        .replace('\'', '"')
                + known
                + (",'settings':" + deployment.settings() + "}").replace('\'', '"');
    }

    /** Waits for a 200 to GET /health/ready; returns false after 30 s, or if the process has ended. */
    boolean awaitReady() throws InterruptedException {
        for (double end = Record.nowMs() + 30_000; Record.nowMs() < end && process.isAlive(); ) {
            try (Socket socket = connect()) {
                socket.setSoTimeout(2000);
                socket.getOutputStream().write(Message.ascii("GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n"));
                if (Message.read(socket.getInputStream()).status() == 200) {
                    return true;
                }
            } catch (IOException | RuntimeException e) {
                // Not listening yet.
            }
            Thread.sleep(50);
        }
        return false;
    }

    Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 2000);
        return socket;
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGKILL, and waits for the end of the process. */
    void stop() throws InterruptedException {
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }

    /** Adds the sidecar's log to the record. */
    void recordLog() throws IOException {
        for (String line : new String(Files.readAllBytes(log), StandardCharsets.UTF_8).split("\n")) {
            Record.add("sidecar's log: %s", line);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
