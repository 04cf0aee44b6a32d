import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The head of an HTTP/1.1 message, and its body where it has been read. */
final class Message {

    final String startLine;
    final Map<String, String> headers;
    byte[] body = new byte[0];

    private Message(String startLine, Map<String, String> headers) {
        this.startLine = startLine;
        this.headers = headers;
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    /** Reads a head, or returns null at the end of the stream before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); !"".equals(line); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("the stream ended in a head");
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Message(first, headers);
    }

    /** Reads a head and a body that has a length or is chunked. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            message.readBody(in);
        }
        return message;
    }

    void readBody(InputStream in) throws IOException {
        if (header("transfer-encoding").equalsIgnoreCase("chunked")) {
            java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                all.write(readExactly(in, size));
                readLine(in);
            }
            readLine(in);
            body = all.toByteArray();
        } else if (!header("content-length").isEmpty()) {
            body = readExactly(in, Integer.parseInt(header("content-length")));
        }
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("the stream ended between chunks");
        }
        return Integer.parseInt(line.split(";")[0].trim(), 16);
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the stream ended in a body, after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.length() > 0) {
                    throw new EOFException("the stream ended in a line");
                }
                return null;
            }
            line.append((char) b);
        }
        int length = line.length();
        return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
