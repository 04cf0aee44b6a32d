package lemonrail.assembly;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** An endpoint on loopback whose responses the test scripts; it also stands in for discovery. */
final class StubEndpoint implements Closeable {

    /** Handles one request. */
    interface RequestHandler {
        void handle(HttpTestConnection wire, HttpTestConnection.Message request) throws Exception;
    }

    /** Handles the bytes of a connection itself; called again until it throws. */
    interface ConnectionHandler {
        void handle(HttpTestConnection wire) throws Exception;
    }

    final ServerSocket listener;
    final List<HttpTestConnection.Message> requests = new CopyOnWriteArrayList<>();
    final AtomicInteger connections = new AtomicInteger();
    final AtomicInteger open = new AtomicInteger();
    volatile RequestHandler requestHandler;
    private final ConnectionHandler connectionHandler;
    private final Thread accepting;

    StubEndpoint(RequestHandler requestHandler) throws IOException {
        this(requestHandler, null, 0);
    }

    /** Creates an endpoint whose handler reads by itself; its requests are not recorded. */
    StubEndpoint(ConnectionHandler connectionHandler) throws IOException {
        this(null, connectionHandler, 0);
    }

    /** Creates an endpoint at a port that is known to be free. */
    StubEndpoint(RequestHandler requestHandler, int port) throws IOException {
        this(requestHandler, null, port);
    }

    private StubEndpoint(RequestHandler requestHandler, ConnectionHandler connectionHandler, int port)
            throws IOException {
        this.requestHandler = requestHandler;
        this.connectionHandler = connectionHandler;
        listener = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
        accepting = start(this::accept);
    }

    static StubEndpoint respondingWith(int status, String headers, String body) throws IOException {
        return new StubEndpoint((wire, request) -> respond(wire, status, headers, body));
    }

    static void respond(HttpTestConnection wire, int status, String headers, String body) throws IOException {
        wire.send("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    int port() {
        return listener.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.incrementAndGet();
                open.incrementAndGet();
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The test is over.
            return;
        }
    }

    private void serve(Socket socket) {
        try (HttpTestConnection wire = new HttpTestConnection(socket)) {
            while (connectionHandler != null) {
                connectionHandler.handle(wire);
            }
            while (true) {
                HttpTestConnection.Message request = wire.read();
                requests.add(request);
                requestHandler.handle(wire, request);
            }
        } catch (Exception e) {
            // The connection is over, which the counter below tells.
            return;
        } finally {
            open.decrementAndGet();
        }
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task, "stub-endpoint");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Closes the listener; waits for the accepting thread, as connections are accepted while it is blocked. */
    @Override
    public void close() throws IOException {
        listener.close();
        try {
            accepting.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
