package lemonrail.simulator;

import java.io.IOException;
import lemonrail.core.balancer.Endpoint;

/** Reads one entry of an endpoint list from the simulator. */
final class EndpointEntryReader {

    private final JsonInput in;
    private String id;
    private int zone;
    private int hardwareKind;
    private int cell;
    private double startedMs;
    private int state;
    private double weight = 1;

    private EndpointEntryReader(JsonInput in) {
        this.in = in;
    }

    /** Reads an entry; the input must be at its first token. */
    static Endpoint read(JsonInput in) throws IOException {
        EndpointEntryReader reader = new EndpointEntryReader(in);
        in.readFields("an entry", reader::readField);
        return reader.toEndpoint();
    }

    private void readField(String name) throws IOException {
        if (in.isNull()) {
            return;
        }
        switch (name) {
            case WireNames.ENDPOINT_ID -> id = in.text();
            case WireNames.ZONE -> zone = in.intValue();
            case WireNames.HARDWARE_KIND -> hardwareKind = in.intValue();
            case WireNames.CELL -> cell = in.intValue();
            case WireNames.STARTED_MS -> startedMs = in.doubleValue();
            case WireNames.STATE -> state = in.intValue();
            case WireNames.WEIGHT -> weight = in.doubleValue();
            default -> in.skip();
        }
    }

    private Endpoint toEndpoint() throws MalformedBatchException {
        return new Endpoint(id, zone, hardwareKind, cell, startedMs, WireNames.endpointState(state), weight);
    }
}
