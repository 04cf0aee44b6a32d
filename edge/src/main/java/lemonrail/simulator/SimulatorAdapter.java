package lemonrail.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointUpdateKind;
import lemonrail.core.balancer.LoadBalancer;

/**
 * Runs load balancers behind the simulator's protocol: reads batches of events, passes each event to the balancer of
 * its instance, and writes one reply per batch. Single-threaded.
 */
public final class SimulatorAdapter {

    private final BatchPosition position = new BatchPosition();
    private final BatchReader reader;
    private final ReplyWriter replies;
    private final PrintStream warnings;
    private final Map<String, SimulatedInstance> instances = new HashMap<>();
    private final EndpointLists endpointLists = new EndpointLists();
    private final Set<String> unknownKinds = new HashSet<>();

    /** Creates an adapter that reads {@code input}, writes replies to {@code output} and warnings to {@code errors}. */
    public SimulatorAdapter(InputStream input, OutputStream output, PrintStream errors) throws IOException {
        reader = new BatchReader(input, position);
        replies = new ReplyWriter(output);
        warnings = errors;
    }

    /**
     * Replies to batches until the input ends.
     *
     * @throws SimulatorProtocolException if a batch cannot be read or handled; the batch gets no reply
     */
    public void run() {
        try {
            for (Batch batch = reader.read(); batch != null; batch = reader.read()) {
                reply(batch);
            }
        } catch (IOException | RuntimeException e) {
            throw new SimulatorProtocolException(position + ": " + firstLine(e), e);
        }
    }

    /**
     * Returns the first line of the message; the second line of a JSON parser's message only gives the position in the
     * input.
     */
    private static String firstLine(Exception e) {
        String message = e.getMessage() == null ? e.toString() : e.getMessage();
        return message.lines().findFirst().orElse("");
    }

    private void reply(Batch batch) throws IOException {
        replies.startReply(batch.number());
        for (Batch.Part part : batch.parts()) {
            position.enterInstance(part.instance());
            replies.startPart(part.instance());
            for (SimulatorEvent event : part.events()) {
                handle(event, batch.nowMs());
            }
            replies.endPart();
        }
        replies.endReply();
    }

    private void handle(SimulatorEvent event, double nowMs) throws MalformedBatchException {
        if (event instanceof SimulatorEvent.BalancerEvent balancerEvent) {
            balancerEvent.deliver(runningBalancer(), nowMs);
        } else if (event instanceof SimulatorEvent.ListDefined list) {
            endpointLists.define(list.listNumber(), list.endpoints());
        } else if (event instanceof SimulatorEvent.EndpointsUpdated update) {
            updateEndpoints(update, nowMs);
        } else if (event instanceof SimulatorEvent.InstanceStarted start) {
            instances.put(position.instance(), new SimulatedInstance(start.settings(), start.seed(), replies));
        } else if (event instanceof SimulatorEvent.InstanceStopped) {
            runningBalancer();
            instances.remove(position.instance());
        } else if (event instanceof SimulatorEvent.Unknown unknown) {
            warnOnce(unknown.kind());
        }
    }

    private void updateEndpoints(SimulatorEvent.EndpointsUpdated update, double nowMs) throws MalformedBatchException {
        EndpointUpdateKind kind = WireNames.updateKind(update.updateKind());
        LoadBalancer balancer = runningBalancer();
        List<Endpoint> endpoints =
                kind == EndpointUpdateKind.FAILED ? List.of() : endpointLists.get(update.listNumber());
        balancer.onEndpointUpdate(nowMs, kind, endpoints);
    }

    private LoadBalancer runningBalancer() throws MalformedBatchException {
        SimulatedInstance instance = instances.get(position.instance());
        if (instance == null) {
            throw new MalformedBatchException("event for an instance that is not running");
        }
        return instance.balancer();
    }

    private void warnOnce(String unknownKind) {
        if (unknownKinds.add(unknownKind)) {
            warnings.println("lemonrail: " + position + ": skipping events of unknown kind '" + unknownKind
                    + "', reported once");
        }
    }
}
