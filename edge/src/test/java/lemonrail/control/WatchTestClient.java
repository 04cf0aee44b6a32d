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

/** A test client that sends watch requests one at a time and applies the responses to a replica. */
final class WatchTestClient implements Closeable {

    private static final int TIMEOUT_MS = 20_000;

    private final String services;
    final WatcherReplica replica = new WatcherReplica();
    final Map<String, String> states = new TreeMap<>();
    private Socket socket;
    private InputStream in;
    long version = -1;
    String bootId = "";
    int status;
    boolean full;
    long bytes;
    Map<?, ?> response;
    String text = "";

    /** Creates a watcher of these comma-separated services, or of all services if the text is empty. */
    WatchTestClient(String services) {
        this.services = services;
    }

    /** Closes the present connection and connects to a node. The replica is kept. */
    WatchTestClient connectTo(InetSocketAddress node) throws IOException {
        return connectTo(node, 0);
    }

    /** Connects to a node with a socket receive buffer of this size, or of the default size if it is 0. */
    WatchTestClient connectTo(InetSocketAddress node, int receiveBytes) throws IOException {
        close();
        socket = new Socket();
        if (receiveBytes > 0) {
            socket.setReceiveBufferSize(receiveBytes);
        }
        socket.connect(node);
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        return this;
    }

    WatchTestClient send(String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** Sends a watch request that resumes from the known version, if there is one. */
    WatchTestClient sendWatch(int waitMs, String moreParameters) throws IOException {
        return get("/registry/instances?name=w1" + (services.isEmpty() ? "" : "&service=" + services)
                + (version < 0 ? "" : "&index=" + version + "&wait=" + waitMs + "&from=" + bootId) + "&digest="
                + Long.toHexString(replica.digest()) + moreParameters);
    }

    WatchTestClient get(String uri) throws IOException {
        return send("GET " + uri + " HTTP/1.1\r\nHost: control\r\n\r\n");
    }

    /** Sends a watch request and applies the response. */
    WatchTestClient watch(int waitMs) throws IOException {
        return sendWatch(waitMs, "").receive();
    }

    /**
     * Watches until the endpoint is in this state, or is absent if the state is null.
     *
     * @return the number of responses received
     */
    int watchUntil(String id, String state) throws IOException {
        for (int responses = 0; responses < 100; responses++) {
            if (java.util.Objects.equals(state, states.get(id))) {
                return responses;
            }
            watch(1000);
        }
        throw new AssertionError(id + " is " + states.get(id) + ", not " + state);
    }

    WatchTestClient read() throws IOException {
        String statusLine = readLine();
        status = Integer.parseInt(statusLine.split(" ")[1]);
        int length = 0;
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the response body is truncated");
        }
        bytes += length;
        text = new String(body, StandardCharsets.UTF_8);
        return this;
    }

    /** Reads a response and applies it to the replica unless its status differs from 200. */
    WatchTestClient receive() throws IOException {
        read();
        if (status != 200) {
            return this;
        }
        response = (Map<?, ?>) Json.parse(text.getBytes(StandardCharsets.UTF_8));
        version = ((Double) response.get("version")).longValue();
        bootId = (String) response.get("node");
        full = (Boolean) response.get("full");
        List<WatcherReplica.Key> listed = new ArrayList<>();
        for (Object item : (List<?>) response.get("servers")) {
            Map<?, ?> entry = (Map<?, ?>) item;
            boolean removed = "terminated".equals(entry.get("state"));
            WatcherReplica.Key key = new WatcherReplica.Key((String) entry.get("service"), (String) entry.get("id"));
            if (replica.apply(key, HybridTimestamp.parse((String) entry.get("stamp")), removed)) {
                states.put(key.id(), (String) entry.get("state"));
                states.values().removeIf("terminated"::equals);
            }
            listed.add(key);
        }
        for (Object item : (List<?>) response.get("settings")) {
            Map<?, ?> entry = (Map<?, ?>) item;
            WatcherReplica.Key key =
                    new WatcherReplica.Key("settings:" + entry.get("name"), (String) entry.get("name"));
            replica.apply(key, HybridTimestamp.parse((String) entry.get("stamp")), (Boolean) entry.get("gone"));
            listed.add(key);
        }
        if (full) {
            replica.retainListed(listed, EntryCodec.decodeVersions(response)).forEach(key -> states.remove(key.id()));
        }
        return this;
    }

    int listedEndpoints() {
        return ((List<?>) response.get("servers")).size();
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("the connection was closed within a line");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Waits until the node has closed the connection. */
    void awaitClose() throws IOException {
        try {
            while (in.read() >= 0) {
                continue;
            }
        } catch (java.net.SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            // A connection reset counts as closed.
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
