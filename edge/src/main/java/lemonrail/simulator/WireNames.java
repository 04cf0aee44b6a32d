package lemonrail.simulator;

import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.EndpointUpdateKind;

/** The names and numbers of the simulator's protocol, and their mapping to the types of the load balancer. */
final class WireNames {

    // Fields of a batch and of its reply.
    static final String WALL_MS = "wall-ms";

    static final String BATCH = "batch";
    static final String PARTS = "parts";
    static final String INSTANCE = "i";
    static final String EVENTS = "in";
    static final String ACTIONS = "out";

    // Fields of events and actions.
    static final String KIND = "kind";

    static final String REQUEST_ID = "msg-id";
    static final String ENDPOINT_ID = "endpoint";
    static final String OUTCOME = "reason";
    static final String DEADLINE_MS = "drop-dead-ms";
    static final String DURATION_MS = "rtt-ms";
    static final String REQUEST_CLASS = "type";
    static final String TENANT = "tenant";
    static final String ATTEMPT = "hop";
    static final String UPDATE_KIND = "mode";
    static final String LIST_NUMBER = "ref";
    static final String TIMER_NAME = "name";
    static final String SEED = "init-seed";
    static final String RETRIED_BY_CLIENT = "resent";
    static final String CONCLUDED = "done-flag";
    static final String LOAD = "stats";
    static final String OUTSTANDING = "outstanding";
    static final String ENTRIES = "entries";
    static final String SETTINGS = "params";
    static final String TIMEOUT_MS = "give-up-after-ms";
    static final String RETRY_AFTER_MS = "cool-down-ms";
    static final String DELAY_MS = "in-ms";
    static final String ENABLE = "enable";
    static final String LOG_LINE = "line";

    // Fields of an entry of an endpoint list.
    static final String ZONE = "hall";

    static final String HARDWARE_KIND = "sku";
    static final String CELL = "cell";
    static final String STARTED_MS = "launched-ms";
    static final String STATE = "state";
    static final String WEIGHT = "share";

    private static final EndpointUpdateKind[] UPDATE_KIND_BY_NUMBER = {
        EndpointUpdateKind.CACHED, EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.DELTA, EndpointUpdateKind.FAILED
    };
    private static final EndpointState[] STATE_BY_NUMBER = {
        EndpointState.GONE, EndpointState.READY, EndpointState.DRAINING
    };

    private WireNames() {}

    static EndpointUpdateKind updateKind(int number) throws MalformedBatchException {
        return valueOf(UPDATE_KIND_BY_NUMBER, number, UPDATE_KIND);
    }

    static EndpointState endpointState(int number) throws MalformedBatchException {
        return valueOf(STATE_BY_NUMBER, number, STATE);
    }

    private static <T> T valueOf(T[] values, int number, String field) throws MalformedBatchException {
        if (number < 0 || number >= values.length) {
            throw new MalformedBatchException("unknown " + field + " " + number);
        }
        return values[number];
    }

    static AttemptOutcome outcome(String name) throws MalformedBatchException {
        return switch (name) {
            case "Ok" -> AttemptOutcome.OK;
            case "Failed" -> AttemptOutcome.FAILED;
            case "QueueFull" -> AttemptOutcome.QUEUE_FULL;
            case "TimedOut" -> AttemptOutcome.TIMED_OUT;
            case "ConnectError" -> AttemptOutcome.CONNECT_ERROR;
            case "ResetByPeer" -> AttemptOutcome.RESET;
            case "Canceled" -> AttemptOutcome.CANCELED;
            case "Ignored" -> AttemptOutcome.IGNORED;
            default -> throw new MalformedBatchException("unknown outcome '" + name + "'");
        };
    }
}
