package lemonrail.assembly;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** An endpoint on loopback whose handler the test provides. Tests use it as a discovery service as well. */
final class StubEndpoint implements Closeable {

    /** Handles one request. */
    interface RequestHandler {
        void handle(HttpTestConnection connection, HttpTestConnection.Message request) throws Exception;
    }

    /** Reads and writes the bytes of a connection itself. It is called repeatedly until it throws an exception. */
    interface ConnectionHandler {
        void handle(HttpTestConnection connection) throws Exception;
    }

    final ServerSocket listener;
    final List<HttpTestConnection.Message> requests = new CopyOnWriteArrayList<>();
    /** The number of connections accepted so far. */
    final AtomicInteger connections = new AtomicInteger();
    /** The number of connections that are open now. */
    final AtomicInteger open = new AtomicInteger();

    volatile RequestHandler requestHandler;
    private final ConnectionHandler connectionHandler;
    private final Thread acceptThread;

    StubEndpoint(RequestHandler requestHandler) throws IOException {
        this(requestHandler, null, 0);
    }

    /** Creates an endpoint whose handler reads requests itself; they are not added to {@link #requests}. */
    StubEndpoint(ConnectionHandler connectionHandler) throws IOException {
        this(null, connectionHandler, 0);
    }

    /** Creates an endpoint that listens on the given port. */
    StubEndpoint(RequestHandler requestHandler, int port) throws IOException {
        this(requestHandler, null, port);
    }

    private StubEndpoint(RequestHandler requestHandler, ConnectionHandler connectionHandler, int port)
            throws IOException {
        this.requestHandler = requestHandler;
        this.connectionHandler = connectionHandler;
        listener = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
        acceptThread = start(this::accept);
    }

    /** Creates an endpoint that sends the same response to each request. */
    static StubEndpoint respondingWith(int status, String headers, String body) throws IOException {
        return new StubEndpoint((connection, request) -> respond(connection, status, headers, body));
    }

    static void respond(HttpTestConnection connection, int status, String headers, String body) throws IOException {
        connection.send(
                "HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
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
            // The listener has been closed at the end of the test.
            return;
        }
    }

    private void serve(Socket socket) {
        try (HttpTestConnection connection = new HttpTestConnection(socket)) {
            while (connectionHandler != null) {
                connectionHandler.handle(connection);
            }
            while (true) {
                HttpTestConnection.Message request = connection.read();
                requests.add(request);
                requestHandler.handle(connection, request);
            }
        } catch (Exception e) {
            // The connection has ended; the finally block counts it as closed.
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

    /** Closes the listener and waits for the accepting thread, which may still accept a connection until it ends. */
    @Override
    public void close() throws IOException {
        listener.close();
        try {
            acceptThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
