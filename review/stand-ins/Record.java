import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a test: what was sent, answered and run, with milliseconds since the start of the test. */
final class Record {

    private static final long START_NANOS = System.nanoTime();
    private static PrintWriter file;

    private Record() {}

    static synchronized void open(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8));
    }

    static double nowMs() {
        return (System.nanoTime() - START_NANOS) / 1e6;
    }

    static synchronized void add(String format, Object... values) {
        String line = String.format("%10.1f  ", nowMs()) + String.format(format, values);
        if (file != null) {
            file.println(line);
            file.flush();
        }
    }

    /** Adds a line and prints it. */
    static synchronized void say(String format, Object... values) {
        add(format, values);
        System.out.println(String.format(format, values));
    }
}
