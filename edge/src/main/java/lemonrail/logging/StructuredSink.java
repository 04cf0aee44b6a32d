package lemonrail.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.Encoder;
import java.io.OutputStream;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.LoggerFactory;
import org.slf4j.event.KeyValuePair;

/** Writes through Logback, as text with time and level or as one JSON object per line. */
final class StructuredSink implements LogSink {

    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSX,UTC} %-5level %logger{0}: %msg%n";
    /** Logback's levels, indexed by the ordinal of {@link Severity}. */
    private static final Level[] LEVELS = {Level.DEBUG, Level.INFO, Level.WARN, Level.ERROR};

    private final LoggerContext context;
    private final Logger root;

    /** Creates a sink that writes to a stream; {@code levels} maps loggers to the lowest severity written. */
    StructuredSink(OutputStream out, LogSettings.Format format, Map<String, Severity> levels) {
        context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.WARN);
        root = context.getLogger(EventLog.ROOT);
        root.setAdditive(false);
        root.setLevel(Level.INFO);
        levels.forEach(this::setLevel);
        Encoder<ILoggingEvent> encoder = format == LogSettings.Format.JSON ? new JsonEncoder() : textEncoder();
        encoder.setContext(context);
        encoder.start();
        OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
        appender.setContext(context);
        appender.setEncoder(encoder);
        appender.setOutputStream(out);
        appender.start();
        root.addAppender(appender);
        context.getLogger(Logger.ROOT_LOGGER_NAME).addAppender(appender);
    }

    private static Encoder<ILoggingEvent> textEncoder() {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setPattern(PATTERN);
        return encoder;
    }

    @Override
    public boolean isEnabled(Severity severity, String logger) {
        return context.getLogger(logger).isEnabledFor(LEVELS[severity.ordinal()]);
    }

    @Override
    public void write(LogEvent event) {
        Logger logger = context.getLogger(event.logger());
        LoggingEvent loggingEvent = new LoggingEvent(
                StructuredSink.class.getName(),
                logger,
                LEVELS[event.severity().ordinal()],
                event.message(),
                null,
                null);
        loggingEvent.setInstant(Instant.ofEpochMilli((long) event.timestampMs()));
        loggingEvent.addKeyValuePair(new KeyValuePair("event", event.name()));
        List<Object> fields = event.fields();
        for (int i = 0; i + 1 < fields.size(); i += 2) {
            loggingEvent.addKeyValuePair(new KeyValuePair(String.valueOf(fields.get(i)), fields.get(i + 1)));
        }
        logger.callAppenders(loggingEvent);
    }

    @Override
    public void setLevel(String logger, Severity severity) {
        context.getLogger(logger).setLevel(LEVELS[severity.ordinal()]);
    }

    @Override
    public Map<String, String> levels() {
        Map<String, String> levels = new TreeMap<>();
        for (Logger logger : context.getLoggerList()) {
            if (logger.getLevel() != null && logger.getName().startsWith(EventLog.ROOT)) {
                levels.put(logger.getName(), logger.getLevel().toString().toLowerCase(Locale.ROOT));
            }
        }
        return levels;
    }

    @Override
    public void close() {
        context.stop();
    }
}
