import java.io.IOException;
import java.net.Socket;

/** Requests of the platform's clients. */
final class Client {

    private Client() {}

    /** Returns the head of a keyed request with a body. */
    static byte[] issueHead(String id, int deadlineMs, int bodyBytes) {
        return Message.ascii("POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: " + id
                + "\r\nX-Class: quote-issue\r\nX-Tenant: darkhan\r\nX-Deadline-Ms: " + deadlineMs
                + "\r\nIdempotency-Key: key-of-" + id + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n");
    }

    /** Returns a request that is safe to repeat, with a deadline of 5 s. */
    static byte[] previewRequest(String id) {
        return Message.ascii("GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: " + id
                + "\r\nX-Class: quote-preview\r\nX-Tenant: darkhan\r\nX-Deadline-Ms: 5000\r\n\r\n");
    }

    /** Sends a request that is safe to repeat; returns the status line and the body of its answer. */
    static String preview(Sidecar sidecar, String id) throws IOException {
        try (Socket socket = sidecar.connect()) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(previewRequest(id));
            String answer = awaitAnswer(socket);
            Record.add("client: %s answered '%s'", id, answer);
            return answer;
        }
    }

    /** Sends a request of the ticket hall, whose class is unsafe to repeat, without a key; returns what {@link #preview} does. */
    static String seat(Sidecar sidecar, String id) throws IOException {
        try (Socket socket = sidecar.connect()) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream()
                    .write(Message.ascii("POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: " + id
                            + "\r\nX-Class: seat\r\nX-Tenant: box-office\r\nX-Deadline-Ms: 8000"
                            + "\r\nContent-Length: 2\r\n\r\n{}"));
            String answer = awaitAnswer(socket);
            Record.add("client: %s answered '%s'", id, answer);
            return answer;
        }
    }

    /** Returns the status line and the body of an answer, or what came in its place. */
    static String awaitAnswer(Socket socket) {
        try {
            Message message = Message.read(socket.getInputStream());
            return message == null
                    ? "none: the connection ended"
                    : message.startLine + ": " + new String(message.body, java.nio.charset.StandardCharsets.ISO_8859_1).trim();
        } catch (IOException e) {
            return "none: " + e;
        }
    }
}
