package lemonrail.control;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lemonrail.core.replication.HybridTimestamp;
import lemonrail.core.replication.WatcherReplica;
import lemonrail.json.Json;

/** A watcher that speaks call by call, and holds what it was told. */
final class Watcher implements Closeable {

    private static final int PATIENCE_MS = 20_000;

    private final String services;
    final WatcherReplica replica = new WatcherReplica();
    final Map<String, String> states = new TreeMap<>();
    private Socket socket;
    private InputStream in;
    long version = -1;
    String from = "";
    int status;
    boolean full;
    long bytes;
    Map<?, ?> answer;
    String text = "";

    /** A watcher of these services, or all where none are given. */
    Watcher(String services) {
        this.services = services;
    }

    /** Goes to this node, with all that it knows. */
    Watcher to(InetSocketAddress node) throws IOException {
        return to(node, 0);
    }

    /** The same with so many bytes that the system takes before they are read; 0 for as many as it likes. */
    Watcher to(InetSocketAddress node, int receiveBytes) throws IOException {
        close();
        socket = new Socket();
        if (receiveBytes > 0) {
            socket.setReceiveBufferSize(receiveBytes);
        }
        socket.connect(node);
        socket.setSoTimeout(PATIENCE_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        return this;
    }

    Watcher send(String line) throws IOException {
        socket.getOutputStream().write(line.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** Sends a call with what is known. */
    Watcher call(int waitMs, String more) throws IOException {
        return get("/registry/instances?name=w1" + (services.isEmpty() ? "" : "&service=" + services)
                + (version < 0 ? "" : "&index=" + version + "&wait=" + waitMs + "&from=" + from) + "&digest="
                + Long.toHexString(replica.digest()) + more);
    }

    Watcher get(String uri) throws IOException {
        return send("GET " + uri + " HTTP/1.1\r\nHost: control\r\n\r\n");
    }

    /** Calls and takes the answer in. */
    Watcher watch(int waitMs) throws IOException {
        return call(waitMs, "").take();
    }

    /** Calls until the endpoint is in this state, or gone where it is null; the answers that it took. */
    int watchUntil(String id, String state) throws IOException {
        for (int answers = 0; answers < 100; answers++) {
            if (java.util.Objects.equals(state, states.get(id))) {
                return answers;
            }
            watch(1000);
        }
        throw new AssertionError(id + " is " + states.get(id) + ", not " + state);
    }

    Watcher read() throws IOException {
        String first = line();
        status = Integer.parseInt(first.split(" ")[1]);
        int length = 0;
        for (String line = line(); !line.isEmpty(); line = line()) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the body is cut");
        }
        bytes += length;
        text = new String(body, StandardCharsets.UTF_8);
        return this;
    }

    /** Reads an answer and holds what it says. */
    Watcher take() throws IOException {
        read();
        if (status != 200) {
            return this;
        }
        answer = (Map<?, ?>) Json.value(text.getBytes(StandardCharsets.UTF_8));
        version = ((Double) answer.get("version")).longValue();
        from = (String) answer.get("node");
        full = (Boolean) answer.get("full");
        List<WatcherReplica.Key> named = new ArrayList<>();
        for (Object each : (List<?>) answer.get("servers")) {
            Map<?, ?> line = (Map<?, ?>) each;
            boolean gone = "terminated".equals(line.get("state"));
            WatcherReplica.Key key = new WatcherReplica.Key((String) line.get("service"), (String) line.get("id"));
            if (replica.apply(key, HybridTimestamp.parse((String) line.get("stamp")), gone)) {
                states.put(key.id(), (String) line.get("state"));
                states.values().removeIf("terminated"::equals);
            }
            named.add(key);
        }
        for (Object each : (List<?>) answer.get("settings")) {
            Map<?, ?> line = (Map<?, ?>) each;
            WatcherReplica.Key key = new WatcherReplica.Key("settings:" + line.get("name"), (String) line.get("name"));
            replica.apply(key, HybridTimestamp.parse((String) line.get("stamp")), (Boolean) line.get("gone"));
            named.add(key);
        }
        if (full) {
            replica.retainListed(named, EntryCodec.heard(answer)).forEach(key -> states.remove(key.id()));
        }
        return this;
    }

    int listed() {
        return ((List<?>) answer.get("servers")).size();
    }

    private String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("the connection ended");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Waits until the node has closed the connection. */
    void awaitEnd() throws IOException {
        try {
            while (in.read() >= 0) {
                continue;
            }
        } catch (java.net.SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            // A reset ends it as well.
            return;
        }
    }

    Socket socket() {
        return socket;
    }

    @Override
    public void close() throws IOException {
        if (socket != null) {
            socket.close();
        }
    }
}
