package lemonrail.assembly;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An endpoint whose connections are established only once it is released: its accept queue is full until then, and
 * the system retries a connect a second later.
 */
final class LateStubEndpoint implements Closeable {

    private static final int FULL_MS = 200;

    /** Connections on which at least one byte of a request has come. */
    final AtomicInteger asked = new AtomicInteger();
    /** The headers of the request that came last. */
    volatile Map<String, String> headers = Map.of();

    private final ServerSocket listener;
    private final List<Socket> fillers = new ArrayList<>();

    LateStubEndpoint() throws IOException {
        listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        while (fill()) {
            continue;
        }
    }

    private boolean fill() throws IOException {
        Socket filler = new Socket();
        fillers.add(filler);
        try {
            filler.connect(new InetSocketAddress("127.0.0.1", listener.getLocalPort()), FULL_MS);
            return true;
        } catch (SocketTimeoutException e) {
            filler.close();
            return false;
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Lets all in that wait; whoever asks gets an answer that says so. */
    void release() throws IOException {
        for (Socket filler : fillers) {
            filler.close();
        }
        Thread thread = new Thread(this::serve, "late");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve() {
        while (!listener.isClosed()) {
            try (HttpTestConnection wire = new HttpTestConnection(listener.accept())) {
                headers = wire.read().headers();
                asked.incrementAndGet();
                StubEndpoint.respond(wire, 200, "", "late");
            } catch (IOException e) {
                // A filler's connection, one that was let go, or the test is over.
                continue;
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket filler : fillers) {
            filler.close();
        }
    }
}
