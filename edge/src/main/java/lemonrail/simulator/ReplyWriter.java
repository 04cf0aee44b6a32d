package lemonrail.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;

/** Writes one reply per batch. A reply is sent when it is complete, so that a batch with an error gets none. */
final class ReplyWriter {

    private static final int INITIAL_REPLY_BYTES = 1 << 16;
    /** Integral values below this are written without a fraction; a double represents each of them exactly. */
    private static final double MAX_INTEGRAL_VALUE = 1e15;

    private final OutputStream output;
    private final ByteArrayOutputStream reply = new ByteArrayOutputStream(INITIAL_REPLY_BYTES);
    private final JsonGenerator json;
    private final Action action = new Action();

    ReplyWriter(OutputStream output) throws IOException {
        this.output = output;
        json = new JsonFactory().createGenerator(reply).setRootValueSeparator(null);
    }

    void startReply(long batchNumber) throws IOException {
        json.writeStartObject();
        json.writeNumberField(WireNames.BATCH, batchNumber);
        json.writeArrayFieldStart(WireNames.PARTS);
    }

    void startPart(String instance) throws IOException {
        json.writeStartObject();
        json.writeStringField(WireNames.INSTANCE, instance);
        json.writeArrayFieldStart(WireNames.ACTIONS);
    }

    void endPart() throws IOException {
        json.writeEndArray();
        json.writeEndObject();
    }

    /** Ends the reply and sends it. */
    void endReply() throws IOException {
        json.writeEndArray();
        json.writeEndObject();
        json.writeRaw('\n');
        json.flush();
        reply.writeTo(output);
        output.flush();
        reply.reset();
    }

    /** Starts an action; the caller adds its fields and then calls {@link Action#end}. */
    Action startAction(String kind) {
        try {
            json.writeStartObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return action.addField(WireNames.KIND, kind);
    }

    /** The action that is being written. */
    final class Action {

        Action addField(String name, String value) {
            try {
                json.writeStringField(name, value);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return this;
        }

        Action addField(String name, boolean value) {
            try {
                json.writeBooleanField(name, value);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return this;
        }

        Action addField(String name, double value) {
            try {
                json.writeFieldName(name);
                if (value == Math.rint(value) && Math.abs(value) < MAX_INTEGRAL_VALUE) {
                    json.writeNumber((long) value);
                } else {
                    json.writeNumber(value);
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return this;
        }

        void end() {
            try {
                json.writeEndObject();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
