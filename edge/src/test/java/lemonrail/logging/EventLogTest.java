package lemonrail.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import lemonrail.json.Json;
import lemonrail.time.Clock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests formats, levels and rate limits of the event log, and a log reader that blocks. */
@Timeout(60)
class EventLogTest {

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);

    private List<String> lines() {
        return bytes.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void jsonFormatIsOneFlatObjectPerLineWithStableFields() throws IOException {
        LogSink sink = new StructuredSink(out, LogSettings.Format.JSON, Map.of("lemonrail.exchange", Severity.DEBUG));
        EventLog log = new EventLog(new Clock(), sink);
        log.forComponent("exchange")
                .debug(
                        "attempt_ended",
                        "an \"attempt\"\nended",
                        "request_id",
                        "r1",
                        "attempt",
                        0,
                        "took_ms",
                        1.23456,
                        "outcome",
                        Severity.INFO);
        log.forComponent("http1").debug("unseen", "not at this level");
        log.forComponent("http1").warnRateLimited("client_refused", "a client is refused", "400 no", "status", 400);
        assertEquals(2, lines().size());
        Map<?, ?> first = (Map<?, ?>) Json.parse(lines().get(0).getBytes(StandardCharsets.UTF_8));
        assertEquals(
                List.of("ts", "level", "logger", "event", "request_id", "attempt", "took_ms", "outcome", "message"),
                List.copyOf(first.keySet()));
        assertEquals("attempt_ended", first.get("event"));
        assertEquals("lemonrail.exchange", first.get("logger"));
        assertEquals(1.235, first.get("took_ms"));
        assertEquals("an \"attempt\"\nended", first.get("message"));
        Map<?, ?> second = (Map<?, ?>) Json.parse(lines().get(1).getBytes(StandardCharsets.UTF_8));
        assertEquals(400.0, second.get("status"));
        assertEquals("warn", second.get("level"));
    }

    @Test
    void levelsCanBeChangedAndApplyToChildLoggers() {
        for (LogSink sink : List.of(new TextSink(out), new StructuredSink(out, LogSettings.Format.TEXT, Map.of()))) {
            assertFalse(sink.isEnabled(Severity.DEBUG, "lemonrail.http1"));
            sink.setLevel("lemonrail", Severity.DEBUG);
            assertTrue(sink.isEnabled(Severity.DEBUG, "lemonrail.http1"));
            sink.setLevel("lemonrail.http1", Severity.ERROR);
            assertFalse(sink.isEnabled(Severity.WARN, "lemonrail.http1"));
            assertTrue(sink.isEnabled(Severity.DEBUG, "lemonrail.exchange"));
            assertEquals(Map.of("lemonrail", "debug", "lemonrail.http1", "error"), sink.levels());
        }
    }

    @Test
    void repeatedWarningsAreRateLimitedPerEventAndCounted() {
        EventLog log = new EventLog(new Clock(), new TextSink(out));
        for (int i = 0; i < 50; i++) {
            log.forComponent("http1").warnRateLimited("no_connection", "no connection", "number " + i);
        }
        log.forComponent("discovery").warnRateLimited("discovery_failed", "discovery failed", "once");
        assertEquals(List.of("lemonrail: no connection: number 0", "lemonrail: discovery failed: once"), lines());
        assertEquals(49, log.suppressed());
    }

    /**
     * Guards against a full pipe that blocks the event loop. Events are dropped instead, and their number is
     * logged.
     */
    @Test
    void slowReaderDoesNotBlockTheWriter() throws Exception {
        CountDownLatch readerResumed = new CountDownLatch(1);
        CountDownLatch writerBlocked = new CountDownLatch(1);
        OutputStream pipe = new OutputStream() {
            @Override
            public void write(int b) throws IOException {
                writerBlocked.countDown();
                try {
                    readerResumed.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
                bytes.write(b);
            }
        };
        BoundedSink sink = new BoundedSink(new TextSink(new PrintStream(pipe, true, StandardCharsets.UTF_8)), 16);
        EventLog log = new EventLog(new Clock(), sink);
        log.info("first", "first");
        writerBlocked.await();
        for (int i = 0; i < 1000; i++) {
            log.info("more", "more " + i);
        }
        assertEquals(1000 - 16, sink.dropped());
        readerResumed.countDown();
        sink.close();
        assertEquals("lemonrail: first", lines().get(0));
        assertTrue(
                lines().contains("lemonrail: 984 log events were dropped because the reader of the log is too slow"));
        assertEquals(18, lines().size());
    }
}
