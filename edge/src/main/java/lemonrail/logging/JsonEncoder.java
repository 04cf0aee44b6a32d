package lemonrail.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;
import org.slf4j.event.KeyValuePair;

/**
 * Encodes an event as one line with a flat JSON object: {@code ts}, {@code level}, {@code logger}, the event's fields,
 * {@code message}.
 */
final class JsonEncoder extends EncoderBase<ILoggingEvent> {

    private final JsonFactory json = new JsonFactory();

    @Override
    public byte[] headerBytes() {
        return null;
    }

    @Override
    public byte[] footerBytes() {
        return null;
    }

    @Override
    public byte[] encode(ILoggingEvent event) {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        try (JsonGenerator out = json.createGenerator(line)) {
            out.writeStartObject();
            out.writeStringField("ts", event.getInstant().toString());
            out.writeStringField("level", event.getLevel().toString().toLowerCase(Locale.ROOT));
            out.writeStringField("logger", event.getLoggerName());
            if (event.getKeyValuePairs() != null) {
                for (KeyValuePair field : event.getKeyValuePairs()) {
                    write(out, field);
                }
            }
            out.writeStringField("message", event.getFormattedMessage());
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        line.write('\n');
        return line.toByteArray();
    }

    private static void write(JsonGenerator out, KeyValuePair field) throws IOException {
        out.writeFieldName(field.key);
        if (field.value instanceof Integer || field.value instanceof Long) {
            out.writeNumber(((Number) field.value).longValue());
        } else if (field.value instanceof Number number) {
            out.writeNumber(Math.round(number.doubleValue() * 1000) / 1000.0);
        } else if (field.value instanceof Boolean flag) {
            out.writeBoolean(flag);
        } else {
            out.writeString(String.valueOf(field.value));
        }
    }
}
