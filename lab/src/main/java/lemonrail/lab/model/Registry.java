package lemonrail.lab.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Discovery: it knows which endpoints run, and tells each agent late. An agent holds what it has been told
 * and answers the watches of its edge from that.
 */
public final class Registry {

    /** What is said of an endpoint. */
    public enum State {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /** One line of the list; {@code startedMs} is minus infinity for long ago. */
    public record Line(String id, State state, double startedMs) {}

    /** What an agent answers: all it knows, or what is newer than the asker's version. */
    public record Answer(long version, boolean full, List<Line> lines) {}

    /** What was told to an agent's edge, and when. */
    public interface Told {
        /** The edge has been told of this line. */
        void told(Line line);
    }

    private record Change(long version, Line line) {}

    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final boolean pushes;
    private final double pollMs;
    private final double leastLagMs;
    private final double mostLagMs;
    private final Map<String, Line> truth = new LinkedHashMap<>();
    private final List<Agent> agents = new ArrayList<>();
    private final Map<String, Boolean> hidden = new HashMap<>();
    private boolean reachable = true;

    /**
     * A registry that tells of a change after a time between the two; one that does not push is asked for the
     * whole list by its agents once in {@code pollMs}.
     */
    public Registry(
            Scheduler scheduler,
            UniformRandomProvider random,
            boolean pushes,
            double pollMs,
            double leastLagMs,
            double mostLagMs) {
        this.scheduler = scheduler;
        this.random = random;
        this.pushes = pushes;
        this.pollMs = pollMs;
        this.leastLagMs = leastLagMs;
        this.mostLagMs = mostLagMs;
    }

    /** What is so from now on. */
    public void set(Line line) {
        truth.put(line.id(), line);
        if (line.state() == State.TERMINATED) {
            truth.remove(line.id());
        }
        if (pushes) {
            for (Agent agent : agents) {
                scheduler.after(lag(), () -> agent.hear(line));
            }
        }
    }

    private double lag() {
        return leastLagMs + (mostLagMs - leastLagMs) * random.nextDouble();
    }

    /** An agent that knows what is so now. */
    public Agent agent(Told told) {
        Agent agent = new Agent(told);
        agents.add(agent);
        truth.values().forEach(agent::take);
        if (!pushes) {
            scheduler.after(pollMs, agent::poll);
        }
        return agent;
    }

    /** Out of reach, or back: agents then answer nothing, and are told all they missed afterwards. */
    public void reachable(boolean now) {
        reachable = now;
        if (now) {
            agents.forEach(Agent::back);
        }
    }

    /** The list leaves these out, as if they had gone, or has them again. */
    public void hide(List<String> ids, boolean now) {
        for (String id : ids) {
            Line line = truth.get(id);
            if (now) {
                hidden.put(id, true);
            } else {
                hidden.remove(id);
            }
            if (line != null) {
                agents.forEach(agent -> agent.hear(now ? new Line(id, State.TERMINATED, line.startedMs()) : line));
            }
        }
    }

    /** Starts anew: versions count from 1 again, and every watch gets the whole list. */
    public void restart() {
        agents.forEach(Agent::anew);
    }

    /** One edge's source of the list. */
    public final class Agent {
        private final Told told;
        private final Map<String, Line> known = new LinkedHashMap<>();
        private final List<Change> changes = new ArrayList<>();
        private final List<Line> missed = new ArrayList<>();
        private long version = 1;
        private long watched;
        private Consumer<Answer> watcher;
        private Scheduler.Due end;

        private Agent(Told told) {
            this.told = told;
        }

        private void poll() {
            scheduler.after(pollMs, this::poll);
            if (reachable) {
                truth.values().stream()
                        .filter(line -> !hidden.containsKey(line.id()))
                        .filter(line -> !line.equals(known.get(line.id())))
                        .toList()
                        .forEach(this::take);
                known.values().stream()
                        .filter(line -> !truth.containsKey(line.id()))
                        .toList()
                        .forEach(line -> take(new Line(line.id(), State.TERMINATED, line.startedMs())));
                answer();
            }
        }

        private void hear(Line line) {
            if (!reachable) {
                missed.add(line);
            } else if (!hidden.containsKey(line.id()) || line.state() == State.TERMINATED) {
                take(line);
                answer();
            }
        }

        private void take(Line line) {
            if (line.state() == State.TERMINATED) {
                known.remove(line.id());
            } else {
                known.put(line.id(), line);
            }
            changes.add(new Change(++version, line));
        }

        private void back() {
            missed.forEach(this::take);
            missed.clear();
            answer();
        }

        private void anew() {
            version = 1;
            changes.clear();
            answer();
        }

        /** The whole list, or nothing while discovery is out of reach. */
        public void whole(Consumer<Answer> asker) {
            if (reachable) {
                asker.accept(tell(new Answer(version, true, List.copyOf(known.values()))));
            }
        }

        /** Answers once something is newer than this version, or after so long; silent while out of reach. */
        public void watch(long since, double waitMs, Consumer<Answer> asker) {
            if (end != null) {
                end.cancel();
            }
            watched = since;
            watcher = asker;
            end = scheduler.after(waitMs, () -> {
                end = null;
                give();
            });
            answer();
        }

        private void answer() {
            if (watcher != null && watched != version) {
                give();
            }
        }

        private void give() {
            if (!reachable || watcher == null) {
                return;
            }
            Consumer<Answer> asker = watcher;
            watcher = null;
            boolean full = watched > version || watched < 1;
            asker.accept(tell(
                    full
                            ? new Answer(version, true, List.copyOf(known.values()))
                            : new Answer(
                                    version,
                                    false,
                                    changes.stream()
                                            .filter(change -> change.version() > watched)
                                            .map(Change::line)
                                            .toList())));
        }

        private Answer tell(Answer answer) {
            answer.lines().forEach(told::told);
            return answer;
        }
    }
}
