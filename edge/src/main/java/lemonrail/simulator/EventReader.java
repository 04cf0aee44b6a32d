package lemonrail.simulator;

import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.LoadReport;
import lemonrail.json.Json;

/** Reads one event. Its fields may come in any order, so that the event is created after all of them are read. */
final class EventReader {

    private static final double LOAD_UNKNOWN = -1;

    private final JsonInput in;
    private String kind = "";
    private String requestId = "";
    private String endpointId = "";
    private String outcome = "";
    private double deadlineMs;
    private double durationMs;
    private int requestClass;
    private int tenant;
    private int attempt;
    private int updateKind;
    private int listNumber;
    /** The timer's name or the instance's seed, depending on the kind. */
    private long number;

    private boolean retriedByClient;
    private boolean concluded;
    private double outstanding = LOAD_UNKNOWN;
    private List<Endpoint> endpoints = List.of();
    private Map<String, Object> settings = Map.of();

    private EventReader(JsonInput in) {
        this.in = in;
    }

    /** Reads an event; the input must be at its first token. */
    static SimulatorEvent read(JsonInput in) throws IOException {
        EventReader reader = new EventReader(in);
        in.readFields("an event", reader::readField);
        return reader.toEvent();
    }

    private void readField(String name) throws IOException {
        if (in.isNull()) {
            return;
        }
        switch (name) {
            case WireNames.KIND -> kind = in.text();
            case WireNames.REQUEST_ID -> requestId = in.text();
            case WireNames.ENDPOINT_ID -> endpointId = in.text();
            case WireNames.OUTCOME -> outcome = in.text();
            case WireNames.DEADLINE_MS -> deadlineMs = in.doubleValue();
            case WireNames.DURATION_MS -> durationMs = in.doubleValue();
            case WireNames.REQUEST_CLASS -> requestClass = in.intValue();
            case WireNames.TENANT -> tenant = in.intValue();
            case WireNames.ATTEMPT -> attempt = in.intValue();
            case WireNames.UPDATE_KIND -> updateKind = in.intValue();
            case WireNames.LIST_NUMBER -> listNumber = in.intValue();
            case WireNames.TIMER_NAME, WireNames.SEED -> number = in.longValue();
            case WireNames.RETRIED_BY_CLIENT -> retriedByClient = in.booleanValue();
            case WireNames.CONCLUDED -> concluded = in.booleanValue();
            case WireNames.LOAD -> readLoad();
            case WireNames.ENTRIES -> endpoints = in.readArray("entries", EndpointEntryReader::read);
            case WireNames.SETTINGS -> settings = readSettings();
            default -> in.skip();
        }
    }

    private void readLoad() throws IOException {
        if (!in.isAt(JsonToken.START_OBJECT)) {
            in.skip();
            return;
        }
        in.readFields("stats", name -> {
            if (name.equals(WireNames.OUTSTANDING)) {
                outstanding = in.doubleValue();
            } else {
                in.skip();
            }
        });
    }

    @SuppressWarnings("unchecked")
    private Map<String, Object> readSettings() throws IOException {
        in.expect(JsonToken.START_OBJECT, "params");
        return (Map<String, Object>) Json.parse(in.parser());
    }

    private SimulatorEvent toEvent() {
        return switch (kind) {
            case "Inventory" -> new SimulatorEvent.ListDefined(listNumber, endpoints);
            case "Spawn" -> new SimulatorEvent.InstanceStarted(settings, number);
            case "Stop" -> new SimulatorEvent.InstanceStopped();
            case "Endpoints" -> new SimulatorEvent.EndpointsUpdated(updateKind, listNumber);
            case "Query" ->
                new SimulatorEvent.RequestReceived(requestId, requestClass, tenant, deadlineMs, retriedByClient);
            case "Accepted" -> new SimulatorEvent.ResponseStreamStarted(requestId, attempt);
            case "Finished" ->
                new SimulatorEvent.AttemptFinished(
                        requestId, attempt, endpointId, outcome, durationMs, concluded, loadReport());
            case "CancelledByClient" -> new SimulatorEvent.RequestCancelled(requestId);
            case "Fired" -> new SimulatorEvent.TimerFired(number);
            case "PingResult", "NeighbourSays" -> new SimulatorEvent.Unrequested();
            default -> new SimulatorEvent.Unknown(kind);
        };
    }

    private LoadReport loadReport() {
        return outstanding < 0 ? LoadReport.NONE : new LoadReport(outstanding);
    }
}
