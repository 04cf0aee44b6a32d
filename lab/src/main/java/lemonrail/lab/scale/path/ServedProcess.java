package lemonrail.lab.scale.path;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import lemonrail.lab.host.ChildProcess;
import lemonrail.lab.host.ProcessUsage;
import lemonrail.lab.host.SidecarHost;
import lemonrail.lab.scale.ServeCommand;

/** A process through which calls pass: a sidecar or a relay, started with the platform's command. */
final class ServedProcess implements AutoCloseable {

    private static final int POLL_INTERVAL_MS = 20;
    /** The class of all calls. */
    static final String CLASS = "read";

    private static final int LATENCY_OBJECTIVE_MS = 1000;
    static final int DEADLINE_MS = 5000;

    private final ChildProcess child;
    private final InetSocketAddress address;
    private final FixedDiscovery discovery;

    private ServedProcess(ChildProcess child, InetSocketAddress address, FixedDiscovery discovery) {
        this.child = child;
        this.address = address;
        this.discovery = discovery;
    }

    /**
     * Starts a sidecar with these endpoints, which may not be ready yet.
     *
     * @param folder the directory of its settings, log and state, which no other sidecar uses
     */
    static ServedProcess startSidecar(
            ServeCommand command, SpinningLoop endpointLoop, Path folder, List<InetSocketAddress> endpoints)
            throws IOException {
        Files.createDirectories(folder);
        FixedDiscovery discovery = new FixedDiscovery(endpointLoop.group(), endpoints);
        InetSocketAddress address = SidecarHost.freePort();
        Path file = Files.writeString(
                folder.resolve("sidecar.json"),
                String.format(
                        Locale.ROOT,
                        """
            {"name":"path","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"1",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":8192},
             "known":{"version":0,"full":true,"servers":[]},
             "settings":{"azs":["a"],"models":["m"],"replicas-of-me":1,"slot-no":0,"tier":0,"zone":0,
              "membership-mode":"on_request","classes":[{"name":"%s","effect":"repeatable","group":"all",
              "hard-limit-ms":%d,"slo-ms":%d,"worth":1}],
              "limits":{"cancel":true,"dial-timeout-ms":500,"idle-close-ms":15000,"try-limit":3},
              "rules":{}}}
            """,
                        address.getPort(),
                        discovery.address().getPort(),
                        CLASS,
                        DEADLINE_MS,
                        LATENCY_OBJECTIVE_MS));
        ProcessBuilder builder = command.builder()
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("sidecar.log").toFile());
        builder.environment().put("GW_CONFIG", file.toAbsolutePath().toString());
        builder.environment().put("TMPDIR", folder.toAbsolutePath().toString());
        return new ServedProcess(new ChildProcess(builder.start()), address, discovery);
    }

    /** Starts a plain relay to this endpoint, with the same JVM options as a sidecar. */
    static ServedProcess startRelay(ServeCommand command, InetSocketAddress endpoint) throws IOException {
        ChildProcess child = new ChildProcess(
                command.withMainClass("lemonrail.lab.Main", "relay", String.valueOf(endpoint.getPort()))
                        .builder()
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start());
        String port = new BufferedReader(
                        new InputStreamReader(child.process().getInputStream(), StandardCharsets.UTF_8))
                .readLine();
        if (port == null) {
            child.close();
            throw new IOException("relay exited before it wrote its port");
        }
        return new ServedProcess(
                child, new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(port.trim())), null);
    }

    /**
     * Waits until the sidecar reports that it is ready.
     *
     * @throws IOException if it exits or is not ready in time
     */
    void awaitReady() throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SidecarHost.READY_MS);
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + address.getPort() + "/health/ready"))
                .timeout(Duration.ofSeconds(1))
                .build();
        while (true) {
            try {
                if (SidecarHost.CLIENT
                                .send(request, HttpResponse.BodyHandlers.discarding())
                                .statusCode()
                        == 200) {
                    return;
                }
            } catch (IOException e) {
                if (!child.process().isAlive()) {
                    throw new IOException("sidecar exited before it was ready", e);
                }
            }
            if (System.nanoTime() > deadlineNanos) {
                throw new IOException("sidecar was not ready within " + SidecarHost.READY_MS + " ms");
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
    }

    InetSocketAddress address() {
        return address;
    }

    ProcessUsage usage() throws IOException {
        return ProcessUsage.of(child.process().pid());
    }

    @Override
    public void close() {
        child.close();
        if (discovery != null) {
            discovery.close();
        }
    }
}
