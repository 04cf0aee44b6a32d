package lemonrail.lab.host;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lemonrail.assembly.Sidecar;
import lemonrail.assembly.SidecarBuilder;
import lemonrail.config.ConfigSource;
import lemonrail.core.balancer.LoadBalancerFactory;
import lemonrail.http1.Http1Protocol;
import lemonrail.logging.TextSink;

/** One sidecar: in this process, or a process of its own. */
public interface SidecarHost extends AutoCloseable {

    /** Asks all sidecars whether they are ready. */
    HttpClient CLIENT = HttpClient.newHttpClient();
    /** How long a sidecar may take until it is ready. */
    int READY_MS = 30_000;

    /** Where its callers connect. */
    InetSocketAddress address();

    /** Processor time that it has used, in ms; NaN where it shares a process. */
    double cpuMs();

    /** Its resident memory in MiB; NaN where it shares a process. */
    double residentMb() throws IOException;

    /** Whether it has ended by itself. */
    boolean hasCrashed();

    /** Ends it at once, as a kill does. */
    @Override
    void close();

    /** A sidecar of this process; it is ready when this returns. */
    static SidecarHost inside(Path file, Map<String, String> environment, LoadBalancerFactory decider, Path log)
            throws IOException {
        ConfigSource source = ConfigSource.of(file, environment);
        PrintStream out = new PrintStream(Files.newOutputStream(log));
        Sidecar sidecar = new SidecarBuilder(new Http1Protocol(), source, source.load(), new TextSink(out))
                .loadBalancer(decider)
                .build();
        sidecar.start();
        return new SidecarHost() {
            @Override
            public InetSocketAddress address() {
                return sidecar.address();
            }

            @Override
            public double cpuMs() {
                return Double.NaN;
            }

            @Override
            public double residentMb() {
                return Double.NaN;
            }

            @Override
            public boolean hasCrashed() {
                return false;
            }

            @Override
            public void close() {
                sidecar.stop();
                out.close();
            }
        };
    }

    /** A sidecar in a process of its own, which has been started and may not be ready yet. */
    static SidecarHost process(Path jar, Path file, Map<String, String> environment, InetSocketAddress at, Path log)
            throws IOException {
        ProcessBuilder builder = ChildProcess.java("-jar", jar.toString(), "serve", "--config", file.toString())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().putAll(environment);
        ChildProcess child = new ChildProcess(builder.start());
        return new SidecarHost() {
            @Override
            public InetSocketAddress address() {
                return at;
            }

            @Override
            public double cpuMs() {
                return child.cpuMs();
            }

            @Override
            public double residentMb() throws IOException {
                return child.residentMb();
            }

            @Override
            public boolean hasCrashed() {
                return !child.process().isAlive();
            }

            @Override
            public void close() {
                child.close();
            }
        };
    }

    /** Waits until a sidecar says that it is ready. */
    default void awaitReady() throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        URI ready = URI.create("http://" + address().getAddress().getHostAddress() + ":"
                + address().getPort() + "/health/ready");
        HttpRequest request =
                HttpRequest.newBuilder(ready).timeout(Duration.ofSeconds(1)).build();
        while (true) {
            try {
                if (CLIENT.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200) {
                    return;
                }
            } catch (IOException e) {
                if (hasCrashed()) {
                    throw new IOException("a sidecar has ended while starting", e);
                }
            }
            if (System.nanoTime() > until) {
                throw new IOException("a sidecar is not ready after " + READY_MS + " ms");
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /** A port that was free a moment ago. */
    static InetSocketAddress freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }
}
