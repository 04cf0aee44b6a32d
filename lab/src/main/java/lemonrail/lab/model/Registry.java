package lemonrail.lab.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Model of discovery. The registry knows the endpoints and propagates changes to each agent with a lag. An agent
 * keeps the endpoint list as received and answers polls and watches of its sidecar from it.
 */
public final class Registry {

    /** State of an endpoint in the endpoint list. */
    public enum State {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /** An entry of the endpoint list; {@code startedMs} is minus infinity if the endpoint started before the run. */
    public record Entry(String id, State state, double startedMs) {}

    /** Response of an agent: the full list, or only the entries newer than the requested version. */
    public record Response(long version, boolean full, List<Entry> entries) {}

    /** Observes what an agent sends to its sidecar. */
    public interface DeliveryListener {
        /** Called when an agent sends this entry to its sidecar. */
        void delivered(Entry entry);
    }

    private record Change(long version, Entry entry) {}

    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final boolean pushes;
    private final double pollMs;
    private final double minLagMs;
    private final double maxLagMs;
    private final Map<String, Entry> current = new LinkedHashMap<>();
    private final List<Agent> agents = new ArrayList<>();
    private final Map<String, Boolean> hidden = new HashMap<>();
    private boolean reachable = true;

    /**
     * Creates a registry. With {@code pushes}, each agent receives a change after a lag drawn between {@code minLagMs}
     * and {@code maxLagMs}; otherwise agents poll the full list every {@code pollMs}.
     */
    public Registry(
            Scheduler scheduler,
            UniformRandomProvider random,
            boolean pushes,
            double pollMs,
            double minLagMs,
            double maxLagMs) {
        this.scheduler = scheduler;
        this.random = random;
        this.pushes = pushes;
        this.pollMs = pollMs;
        this.minLagMs = minLagMs;
        this.maxLagMs = maxLagMs;
    }

    /** Adds or replaces an entry, or removes it if its state is TERMINATED. */
    public void set(Entry entry) {
        current.put(entry.id(), entry);
        if (entry.state() == State.TERMINATED) {
            current.remove(entry.id());
        }
        if (pushes) {
            for (Agent agent : agents) {
                scheduler.after(drawLagMs(), () -> agent.receive(entry));
            }
        }
    }

    private double drawLagMs() {
        return minLagMs + (maxLagMs - minLagMs) * random.nextDouble();
    }

    /** Creates an agent that knows the current list. */
    public Agent agent(DeliveryListener listener) {
        Agent agent = new Agent(listener);
        agents.add(agent);
        current.values().forEach(agent::apply);
        if (!pushes) {
            scheduler.after(pollMs, agent::poll);
        }
        return agent;
    }

    /**
     * Makes discovery unreachable or reachable. While it is unreachable, agents do not answer; afterwards they
     * receive the changes that they missed.
     */
    public void setReachable(boolean value) {
        reachable = value;
        if (value) {
            agents.forEach(Agent::deliverMissed);
        }
    }

    /** Omits these endpoints from the list, as if they were gone, or lists them again. */
    public void hide(List<String> ids, boolean hide) {
        for (String id : ids) {
            Entry entry = current.get(id);
            if (hide) {
                hidden.put(id, true);
            } else {
                hidden.remove(id);
            }
            if (entry != null) {
                agents.forEach(
                        agent -> agent.receive(hide ? new Entry(id, State.TERMINATED, entry.startedMs()) : entry));
            }
        }
    }

    /** Restarts discovery: versions start over at 1, and open watches get the full list. */
    public void restart() {
        agents.forEach(Agent::resetVersions);
    }

    /** Agent beside one sidecar, from which the sidecar gets the endpoint list. */
    public final class Agent {
        private final DeliveryListener listener;
        private final Map<String, Entry> known = new LinkedHashMap<>();
        private final List<Change> changes = new ArrayList<>();
        private final List<Entry> missed = new ArrayList<>();
        private long version = 1;
        private long watchedVersion;
        private Consumer<Response> watcher;
        private Scheduler.ScheduledAction watchTimeout;

        private Agent(DeliveryListener listener) {
            this.listener = listener;
        }

        private void poll() {
            scheduler.after(pollMs, this::poll);
            if (reachable) {
                current.values().stream()
                        .filter(entry -> !hidden.containsKey(entry.id()))
                        .filter(entry -> !entry.equals(known.get(entry.id())))
                        .toList()
                        .forEach(this::apply);
                known.values().stream()
                        .filter(entry -> !current.containsKey(entry.id()))
                        .toList()
                        .forEach(entry -> apply(new Entry(entry.id(), State.TERMINATED, entry.startedMs())));
                answerWatch();
            }
        }

        private void receive(Entry entry) {
            if (!reachable) {
                missed.add(entry);
            } else if (!hidden.containsKey(entry.id()) || entry.state() == State.TERMINATED) {
                apply(entry);
                answerWatch();
            }
        }

        private void apply(Entry entry) {
            if (entry.state() == State.TERMINATED) {
                known.remove(entry.id());
            } else {
                known.put(entry.id(), entry);
            }
            changes.add(new Change(++version, entry));
        }

        private void deliverMissed() {
            missed.forEach(this::apply);
            missed.clear();
            answerWatch();
        }

        private void resetVersions() {
            version = 1;
            changes.clear();
            answerWatch();
        }

        /** Passes the full list to {@code receiver}; does not answer while discovery is unreachable. */
        public void fetchAll(Consumer<Response> receiver) {
            if (reachable) {
                receiver.accept(notifyListener(new Response(version, true, List.copyOf(known.values()))));
            }
        }

        /**
         * Answers as soon as the list has another version than {@code since}, or after {@code waitMs}. Does not answer
         * while discovery is unreachable.
         */
        public void watch(long since, double waitMs, Consumer<Response> receiver) {
            if (watchTimeout != null) {
                watchTimeout.cancel();
            }
            watchedVersion = since;
            watcher = receiver;
            watchTimeout = scheduler.after(waitMs, () -> {
                watchTimeout = null;
                answerNow();
            });
            answerWatch();
        }

        private void answerWatch() {
            if (watcher != null && watchedVersion != version) {
                answerNow();
            }
        }

        private void answerNow() {
            if (!reachable || watcher == null) {
                return;
            }
            Consumer<Response> receiver = watcher;
            watcher = null;
            boolean full = watchedVersion > version || watchedVersion < 1;
            receiver.accept(notifyListener(
                    full
                            ? new Response(version, true, List.copyOf(known.values()))
                            : new Response(
                                    version,
                                    false,
                                    changes.stream()
                                            .filter(change -> change.version() > watchedVersion)
                                            .map(Change::entry)
                                            .toList())));
        }

        private Response notifyListener(Response response) {
            response.entries().forEach(listener::delivered);
            return response;
        }
    }
}
