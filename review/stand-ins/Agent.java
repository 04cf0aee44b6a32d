import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/** The agent of discovery on the sidecar's machine: the whole list, and watches with the changed entries. */
final class Agent {

    private final ServerSocket listener;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Integer> versions = new LinkedHashMap<>();
    private int version = 1;
    private volatile int lagMs;

    Agent() throws IOException {
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        Threads.start("agent", () -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Threads.start("agent-connection", () -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Adds or changes an entry. */
    synchronized void put(String id, String entry) {
        version++;
        entries.put(id, entry);
        versions.put(id, version);
        notifyAll();
    }

    synchronized String list() {
        return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + String.join(",", entries.values()) + "]}";
    }

    /** Sets how long after it is due each answer comes. */
    void setLag(int ms) {
        lagMs = ms;
        Record.add("discovery: answers come %d ms late", ms);
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Message request = Message.read(in); request != null; request = Message.read(in)) {
                String uri = request.startLine.split(" ")[1];
                String body = uri.contains("index=") ? watch(number(uri, "index"), number(uri, "wait")) : list();
                Thread.sleep(lagMs);
                Record.add("discovery: answers %s with %d bytes", uri, body.length());
                Endpoint.answer(socket.getOutputStream(), body);
            }
        } catch (Exception e) {
            Record.add("agent: a connection ended: %s", e);
        }
    }

    private static long number(String uri, String name) {
        String rest = uri.substring(uri.indexOf(name + "=") + name.length() + 1);
        int end = rest.indexOf('&');
        return Long.parseLong(end < 0 ? rest : rest.substring(0, end));
    }

    private synchronized String watch(long since, long waitMs) throws InterruptedException {
        long endNanos = System.nanoTime() + waitMs * 1_000_000;
        while (version <= since && System.nanoTime() < endNanos) {
            wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
        }
        String changed = versions.entrySet().stream()
                .filter(e -> e.getValue() > since)
                .map(e -> entries.get(e.getKey()))
                .collect(Collectors.joining(","));
        return "{\"version\":" + version + ",\"full\":false,\"servers\":[" + changed + "]}";
    }
}
