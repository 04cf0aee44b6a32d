package lemonrail.simulator;

import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;

/** Reads batches of events. Each batch is read completely before any of its events is handled. */
final class BatchReader {

    private final JsonInput in;
    private final BatchPosition position;
    private double nowMs;
    private List<Batch.Part> parts;

    /** Creates a reader that updates the position while it reads. */
    BatchReader(InputStream input, BatchPosition position) throws IOException {
        in = new JsonInput(input);
        this.position = position;
    }

    /** Returns the next batch, or null at the end of the input. */
    Batch read() throws IOException {
        if (!in.advance()) {
            return null;
        }
        position.startBatch();
        nowMs = Double.NaN;
        parts = null;
        in.readFields("a batch", this::readBatchField);
        position.leaveInstance();
        if (Double.isNaN(nowMs) || parts == null || !position.hasBatchNumber()) {
            throw new MalformedBatchException("a batch must have the fields wall-ms, batch and parts");
        }
        return new Batch(nowMs, position.batchNumber(), parts);
    }

    private void readBatchField(String name) throws IOException {
        switch (name) {
            case WireNames.WALL_MS -> nowMs = in.doubleValue();
            case WireNames.BATCH -> position.setBatchNumber(in.parser().getLongValue());
            case WireNames.PARTS -> parts = in.readArray("parts", this::readPart);
            default -> in.skip();
        }
    }

    private Batch.Part readPart(JsonInput input) throws IOException {
        input.expect(JsonToken.START_OBJECT, "a part");
        position.leaveInstance();
        PartReader part = new PartReader();
        input.readFields("a part", part::readField);
        return part.toPart();
    }

    /** Collects the fields of one instance's part. */
    private final class PartReader {
        private String instance;
        private List<SimulatorEvent> events = List.of();

        private void readField(String name) throws IOException {
            switch (name) {
                case WireNames.INSTANCE -> {
                    instance = in.text();
                    position.enterInstance(instance);
                }
                case WireNames.EVENTS -> events = in.readArray("events", EventReader::read);
                default -> in.skip();
            }
        }

        private Batch.Part toPart() throws MalformedBatchException {
            if (instance == null) {
                throw new MalformedBatchException("a part must have the field i, the name of the instance");
            }
            return new Batch.Part(instance, events);
        }
    }
}
