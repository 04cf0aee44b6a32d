package lemonrail.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;

/** Writes one reply a batch. A reply is sent whole at its end, so that a batch with an error gets none. */
final class ReplyWriter {

    private static final int INITIAL_REPLY_BYTES = 1 << 16;
    /** Whole numbers below this are written without a fraction; a double holds each of them exactly. */
    private static final double MAX_WHOLE_NUMBER = 1e15;

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

    /** Starts an action of this kind, to be followed by its fields and {@link Action#end}. */
    Action startAction(String kind) {
        try {
            json.writeStartObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return action.field(WireNames.KIND, kind);
    }

    /** The action being written. */
    final class Action {

        Action field(String name, String value) {
            try {
                json.writeStringField(name, value);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return this;
        }

        Action field(String name, boolean value) {
            try {
                json.writeBooleanField(name, value);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return this;
        }

        Action field(String name, double value) {
            try {
                json.writeFieldName(name);
                if (value == Math.rint(value) && Math.abs(value) < MAX_WHOLE_NUMBER) {
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
