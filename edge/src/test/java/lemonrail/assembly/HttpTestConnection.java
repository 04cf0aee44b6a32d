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

/**
 * A client or endpoint of an HTTP connection that sends and reads plain text, so that tests can violate the protocol.
 */
final class HttpTestConnection implements Closeable {

    private static final int TIMEOUT_MS = 20_000;

    /** A request or response: its start line, its headers with names in lower case, and its body. */
    record Message(String startLine, Map<String, String> headers, byte[] bytes) {
        String body() {
            return new String(bytes, StandardCharsets.ISO_8859_1);
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
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

    /** Sends the text and returns this connection. */
    HttpTestConnection send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** Reads a complete message. */
    Message read() throws IOException {
        return readBody(readHead());
    }

    /** Reads the body that follows a head; returns the complete message. */
    Message readBody(Message head) throws IOException {
        Map<String, String> headers = head.headers();
        return new Message(
                head.startLine(),
                headers,
                headers.containsKey("transfer-encoding")
                        ? readChunks()
                        : readBytes(Integer.parseInt(headers.getOrDefault("content-length", "0"))));
    }

    private byte[] readBytes(int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("connection ended within a message body");
        }
        return bytes;
    }

    private byte[] readChunks() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
            body.writeBytes(readBytes(size));
            readLine();
        }
        while (!readLine().isEmpty()) {
            continue;
        }
        return body.toByteArray();
    }

    private int readChunkSize() throws IOException {
        return Integer.parseInt(readLine().split(";")[0], 16);
    }

    /** Reads the head of a message, and nothing of its body. */
    Message readHead() throws IOException {
        String startLine = readLine();
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new Message(startLine, headers, new byte[0]);
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("connection ended where a line was expected");
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
            // A reset ends the connection as well.
            return;
        }
    }

    /** Closes the connection with a TCP reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
