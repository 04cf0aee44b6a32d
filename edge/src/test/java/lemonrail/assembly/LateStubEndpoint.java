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
 * An endpoint to which no connection can be established until it is released: its accept queue is full until then, so
 * that the kernel drops SYN packets and retransmits them a second later.
 */
final class LateStubEndpoint implements Closeable {

    private static final int CONNECT_TIMEOUT_MS = 200;

    /** The number of requests received. */
    final AtomicInteger requestCount = new AtomicInteger();
    /** The headers of the request received last. */
    volatile Map<String, String> headers = Map.of();

    private final ServerSocket listener;
    private final List<Socket> fillers = new ArrayList<>();

    LateStubEndpoint() throws IOException {
        listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        while (addFiller()) {
            continue;
        }
    }

    /** Adds a connection to the accept queue. Returns false if the queue is full. */
    private boolean addFiller() throws IOException {
        Socket filler = new Socket();
        fillers.add(filler);
        try {
            filler.connect(new InetSocketAddress("127.0.0.1", listener.getLocalPort()), CONNECT_TIMEOUT_MS);
            return true;
        } catch (SocketTimeoutException e) {
            filler.close();
            return false;
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Empties the accept queue and serves requests from now on, with the body "late". */
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
            try (HttpTestConnection connection = new HttpTestConnection(listener.accept())) {
                headers = connection.read().headers();
                requestCount.incrementAndGet();
                StubEndpoint.respond(connection, 200, "", "late");
            } catch (IOException e) {
                // The connection of a filler, an abandoned connection, or the end of the test.
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
