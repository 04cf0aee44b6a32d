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

/** A sidecar that runs in this process or in a child process. */
public interface SidecarHost extends AutoCloseable {

    /** HTTP client for the readiness checks of all sidecars. */
    HttpClient CLIENT = HttpClient.newHttpClient();
    /** Maximum time from the start of a sidecar until it is ready. */
    int READY_MS = 30_000;

    /** Returns the address at which the sidecar accepts requests. */
    InetSocketAddress address();

    /** Returns the processor time used so far in ms, or NaN if the sidecar runs in this process. */
    double cpuMs();

    /** Returns the resident memory in MiB, or NaN if the sidecar runs in this process. */
    double residentMb() throws IOException;

    /** Returns whether the sidecar's process has ended by itself. */
    boolean hasCrashed();

    /** Ends the sidecar at once, as SIGKILL does. */
    @Override
    void close();

    /** Starts a sidecar in this process; it is ready when this method returns. */
    static SidecarHost startInProcess(
            Path file, Map<String, String> environment, LoadBalancerFactory balancer, Path log) throws IOException {
        ConfigSource source = ConfigSource.of(file, environment);
        PrintStream out = new PrintStream(Files.newOutputStream(log));
        Sidecar sidecar = new SidecarBuilder(new Http1Protocol(), source, source.load(), new TextSink(out))
                .loadBalancer(balancer)
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

    /** Starts a sidecar in a child process, which may not be ready yet when this method returns. */
    static SidecarHost startProcess(
            Path jar, Path file, Map<String, String> environment, InetSocketAddress address, Path log)
            throws IOException {
        ProcessBuilder builder = ChildProcess.java("-jar", jar.toString(), "serve", "--config", file.toString())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().putAll(environment);
        ChildProcess child = new ChildProcess(builder.start());
        return new SidecarHost() {
            @Override
            public InetSocketAddress address() {
                return address;
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

    /** Waits until the sidecar's health check reports that it is ready. Throws IOException if it exits or times out. */
    default void awaitReady() throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
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
                    throw new IOException("sidecar process exited before it was ready", e);
                }
            }
            if (System.nanoTime() > deadlineNanos) {
                throw new IOException("sidecar not ready after " + READY_MS + " ms");
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /** Returns a loopback address whose port was free at the time of the call. */
    static InetSocketAddress freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }
}
