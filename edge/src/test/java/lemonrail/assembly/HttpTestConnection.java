package lemonrail.assembly;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One side of an HTTP connection that sends and reads plain text, so that tests can also break the protocol. */
final class HttpTestConnection implements Closeable {

    private static final int TIMEOUT_MS = 20_000;

    /** A message: its first line, its headers with names in lower case, and its body. */
    record Message(String line, Map<String, String> headers, byte[] bytes) {
        String body() {
            return new String(bytes, StandardCharsets.ISO_8859_1);
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    final Socket socket;
    final InputStream in;

    HttpTestConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static HttpTestConnection to(InetSocketAddress address) throws IOException {
        return new HttpTestConnection(new Socket(address.getAddress(), address.getPort()));
    }

    HttpTestConnection send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    Message read() throws IOException {
        Message head = readHead();
        Map<String, String> headers = head.headers();
        return new Message(
                head.line(),
                headers,
                headers.containsKey("transfer-encoding")
                        ? chunks()
                        : bytes(Integer.parseInt(headers.getOrDefault("content-length", "0"))));
    }

    private byte[] bytes(int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the body is cut");
        }
        return bytes;
    }

    private byte[] chunks() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int size = chunkSize(); size > 0; size = chunkSize()) {
            body.writeBytes(bytes(size));
            line();
        }
        while (!line().isEmpty()) {
            continue;
        }
        return body.toByteArray();
    }

    private int chunkSize() throws IOException {
        return Integer.parseInt(line().split(";")[0], 16);
    }

    /** Reads no further than to the end of a message's head. */
    Message readHead() throws IOException {
        String first = line();
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(); !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new Message(first, headers, new byte[0]);
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

    /** Waits until the peer has closed or reset the connection. */
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

    /** Closes with a reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
