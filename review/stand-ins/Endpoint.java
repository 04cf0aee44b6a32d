import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** An endpoint of the platform's protocol on a loopback address: one request at a time on each connection. */
final class Endpoint {

    /** Handles one request whose head has been read; returns whether the connection stays open. */
    interface Handler {
        boolean handle(Endpoint endpoint, Message request, InputStream in, OutputStream out) throws Exception;
    }

    /** So small that a few connections fill it, after which new ones don't come up. */
    private static final int BACKLOG = 4;

    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;
    private static final int MAX_FILLERS = 16;
    private static final int FILL_TIMEOUT_MS = 50;
    private static final int FILL_INTERVAL_MS = 10;

    final String id;
    final int cell;
    private final Deployment deployment;
    private final Handler handler;
    private final ServerSocket listener;
    /** Until when no connection is accepted. */
    private volatile double heldUntilMs;
    private final List<Socket> fillers = new CopyOnWriteArrayList<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    Endpoint(Deployment deployment, String id, int cell, Handler handler) throws IOException {
        this.deployment = deployment;
        this.id = id;
        this.cell = cell;
        this.handler = handler;
        listener = new ServerSocket();
        // A fixed size, so that the system does not enlarge it: how much a silent endpoint takes is the same each time.
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), BACKLOG);
        Threads.start("accept-" + id, this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() throws Exception {
        while (true) {
            Socket socket = listener.accept();
            while (Record.nowMs() < heldUntilMs) {
                Thread.sleep(1);
            }
            socket.setTcpNoDelay(true);
            Threads.start("serve-" + id, () -> serve(socket));
        }
    }

    /** Lets new connections come up late: accepts none for this time, with the listener's queue full. */
    void holdConnections(double ms) throws IOException, InterruptedException {
        heldUntilMs = Record.nowMs() + ms;
        Record.add("endpoint %s: new connections come up late for %.0f ms", id, ms);
        boolean full = false;
        for (int i = 0; i < MAX_FILLERS && !full; i++) {
            Socket filler = new Socket();
            try {
                filler.connect(listener.getLocalSocketAddress(), FILL_TIMEOUT_MS);
                fillers.add(filler);
                // The accepting thread takes the first one out of the queue.
                Threads.sleep(FILL_INTERVAL_MS);
            } catch (SocketTimeoutException e) {
                filler.close();
                full = true;
            }
        }
        if (!full) {
            throw new IOException("the queue of " + id + " does not fill");
        }
        Threads.start("release-" + id, () -> {
            Threads.sleep(ms);
            for (Socket filler : fillers) {
                filler.close();
            }
            fillers.clear();
        });
    }

    /** Ends the process: connections are reset, and new ones are refused. */
    void end() throws IOException {
        listener.close();
        for (Socket socket : connections) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private void serve(Socket socket) {
        connections.add(socket);
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
            OutputStream out = socket.getOutputStream();
            for (Message head = Message.readHead(in); head != null; head = Message.readHead(in)) {
                if (head.startLine.startsWith("GET /health/live")) {
                    answer(out, "ok");
                } else if (!handler.handle(this, head, in, out)) {
                    return;
                }
            }
        } catch (Exception e) {
            Record.add("endpoint %s: a connection ended: %s", id, e);
        } finally {
            connections.remove(socket);
        }
    }

    /** Answers 200 with a length. */
    static void answer(OutputStream out, String body) throws IOException {
        byte[] bytes = Message.ascii(body);
        out.write(Message.ascii("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + bytes.length + "\r\n\r\n"
                + body));
        out.flush();
    }

    String json(String state, long startedMs) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address() + "\",\"zone\":\"" + deployment.zone + "\",\"kind\":\""
                + deployment.kind + "\",\"cell\":" + cell + ",\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":" + startedMs + "}";
    }
}
