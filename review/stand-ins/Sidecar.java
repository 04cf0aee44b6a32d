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

    /** The two classes of the brief, with its times. */
    private static final String CLASSES_OF_THE_BRIEF =
            "[{'effect':'repeatable','group':'all','hard-limit-ms':5000.0,'late-worth':0.0,'memory-span-ms':5000.0,"
                    + "'name':'quote-preview','slo-ms':2000.0,'stream':false,'worth':5.0},"
                    + "{'effect':'by_key','group':'cell','hard-limit-ms':6000.0,'late-worth':0.0,"
                    + "'memory-span-ms':10000.0,'name':'quote-issue','slo-ms':2500.0,'stream':false,'worth':8.0}]";

    final int port;
    private final Process process;
    private final Path log;

    /**
     * Starts a sidecar.
     *
     * @param known the list of endpoints that the platform hands over
     * @param issuesOnce whether the settings mark the second class as unsafe to repeat
     */
    Sidecar(Path root, Path folder, String name, Agent agent, String known, boolean issuesOnce) throws IOException {
        Path temporary = Files.createDirectories(folder.resolve(name + "-tmp"));
        port = freePort();
        log = folder.resolve(name + ".log");
        Path config = folder.resolve(name + ".json");
        Files.writeString(config, config(name, agent, known, issuesOnce));
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

    private String config(String name, Agent agent, String known, boolean issuesOnce) {
        String classes = issuesOnce ? CLASSES_OF_THE_BRIEF.replace("by_key", "once") : CLASSES_OF_THE_BRIEF;
        return ("{'name':'" + name + "','listen':'127.0.0.1:" + port + "','discovery':'" + agent.address()
                        + "','seed':'8c1f30d27a5be964','limits':{'cores':1.0,'memory_mb':192,'sockets':1024},'known':")
                        .replace('\'', '"')
                + known
                + (",'settings':{'azs':['ub-room-1'],'classes':" + classes
                                + ",'clients':{'marks-retry':true},'counted-by':'request','family':'chain',"
                                + "'family-info':{'passes-deadline':true},"
                                + "'goal':{'whole':0.5,'worst-class':0.1,'worst-tenant':0.1,'worst-window':0.3},"
                                + "'layers':['quote-front','pricing','rate-tables'],"
                                + "'limits':{'cancel':true,'cpu-us-per-request':0.0,'cpu-us-per-s':400000,"
                                + "'dial-timeout-ms':250.0,'idle-close-ms':30000.0,'max-retry-after-ms':2000.0,"
                                + "'may-tell':false,'most-held':20000,'multiplex':1,'parallel-tries':false,"
                                + "'probes':true,'retry-after':true,'try-limit':4},"
                                + "'load-info':{'columns':[],'how':'silent'},'membership-mode':'pushed',"
                                + "'models':['front-std','front-slow'],'over-share-worth':0.2,"
                                + "'prices':{'connection':0.0,'cross-zone':0.0,'handshake':0.0,'late-fail':0.12,"
                                + "'membership-mode':0.0,'moves':0.0,'origin':0.0,'peer':0.0,'probe':0.0091,'waste':0.12},"
                                + "'projects':[{'allowance-per-s':13.0,'name':'ulaanbaatar-central','share':0.5},"
                                + "{'allowance-per-s':13.0,'name':'darkhan','share':0.5}],"
                                + "'replicas-of-me':1,'rules':{'answer-slack-ms':20.0,'ask-within-ms':10000.0,"
                                + "'cold-ms':24000.0,'cold-share':0.13,'drain-grace-ms':1000.0,'fall-ms':3000.0,"
                                + "'tip-multiple':3.0},'slot-no':0,'tick-ms':5.0,'tier':0,'weight-kind':'silent','zone':0}}")
                        .replace('\'', '"');
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
