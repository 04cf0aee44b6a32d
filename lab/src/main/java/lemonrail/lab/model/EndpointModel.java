package lemonrail.lab.model;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Queueing model of an endpoint. Each request takes a slot, requests in slots share the cores evenly, and the
 * others wait in a queue. With as many slots as cores, requests are served first come, first served (M/M/c if
 * work and arrivals are exponential); with more slots this is processor sharing.
 */
public final class EndpointModel {

    /** Longest time between two updates while the speed changes with time. */
    private static final double STEP_MS = 20;
    /** Requests per core, running or waiting, up to which an endpoint counts as mostly idle. */
    private static final double IDLE_PER_CORE = 0.5;

    private final Scheduler scheduler;
    private final EndpointShape shape;
    private final Rack rack;
    private final PriorityQueue<Work> running = new PriorityQueue<>(
            Comparator.comparingDouble((Work work) -> work.target).thenComparingLong(work -> work.number));
    private final Deque<Work> waiting = new ArrayDeque<>();
    private Scheduler.ScheduledAction nextTick;
    /** Work whose current part is done when {@link #nextTick} fires, or null. */
    private Work nextToFinish;

    private double lastMs;
    /** Service in ms that a job would have attained had it run since the model was created. */
    private double attainedMs;

    private long startedJobs;
    private int usedSlots;
    private int connections;
    private double startedMs = Double.NEGATIVE_INFINITY;
    private double workSinceStartMs;
    private double slowness = 1;
    private boolean hanging;
    private boolean failing;
    private boolean silent;
    private boolean draining;
    private boolean collapsed;
    private double crowdedSinceMs = Double.NaN;
    private double idleSinceMs = Double.NaN;
    private double slowedAtMs = Double.NaN;
    private double workDoneMs;
    private int maxHeld;
    /** Arrival time and work, both in ms, of the requests that arrived while cold, within the window. */
    private final Deque<double[]> coldArrivals = new ArrayDeque<>();

    private double coldArrivalsMs;

    /** Creates an endpoint that is warm, as if it had run for long. */
    public EndpointModel(Scheduler scheduler, EndpointShape shape, Rack rack) {
        this.scheduler = scheduler;
        this.shape = shape;
        this.rack = rack;
        lastMs = scheduler.nowMs();
    }

    /** Returns the endpoint's fixed properties. */
    public EndpointShape shape() {
        return shape;
    }

    // ---- requests ----

    /** Opens a connection. Returns false if the endpoint is silent or has as many connections as it accepts. */
    public boolean connect() {
        if (silent || connections >= shape.connections()) {
            return false;
        }
        connections++;
        return true;
    }

    /** Releases a connection that {@link #connect} accepted. */
    public void disconnect() {
        connections--;
    }

    /** Runs {@code then} once the work of a handshake is done. */
    public void handshake(Runnable then) {
        if (shape.handshakeMs() <= 0) {
            then.run();
            return;
        }
        advanceToNow();
        run(new Handshake(shape.handshakeMs(), then), shape.handshakeMs());
        scheduleNextTick();
    }

    private static final class Handshake extends Work {
        private final Runnable then;

        Handshake(double workMs, Runnable then) {
            super(null, workMs, 0);
            this.then = then;
        }

        @Override
        protected void onStarted() {
            // A handshake has no effect to record.
        }

        @Override
        protected void callNextTier(Consumer<Boolean> done) {
            throw new IllegalStateException("a handshake does not call the next tier");
        }

        @Override
        protected void onAnswered(Answer answer) {
            then.run();
        }
    }

    /**
     * Accepts a request that has been received completely, or rejects it if the endpoint drains or its queue is
     * full. A silent or collapsed endpoint drops it without an answer.
     */
    public void offer(Work work) {
        if (silent) {
            return;
        }
        advanceToNow();
        checkColdOverload(work.workMs());
        if (collapsed) {
            return;
        }
        if (draining || (usedSlots >= shape.slots() && waiting.size() >= shape.queueCapacity())) {
            work.finished = true;
            work.onAnswered(Work.Answer.TURNED_AWAY);
            return;
        }
        if (usedSlots >= shape.slots()) {
            waiting.add(work);
        } else {
            startWork(work);
        }
        maxHeld = Math.max(maxHeld, held());
        scheduleNextTick();
    }

    /** Stops the work of a request whose caller no longer waits. */
    public void cancel(Work work) {
        if (work.finished) {
            return;
        }
        advanceToNow();
        work.finished = true;
        if (!waiting.remove(work)) {
            running.remove(work);
            releaseSlot(work);
        }
        scheduleNextTick();
    }

    private void startWork(Work work) {
        usedSlots++;
        work.inSlot = true;
        if (work.key() != null && !rack.registerIfNew(work.key())) {
            // The rack has begun a request with this key, so the repeat is answered without work or a second effect.
            work.repeat = true;
            run(work, 0);
            return;
        }
        work.onStarted();
        run(work, work.partMs());
    }

    private void run(Work work, double partMs) {
        work.target = attainedMs + partMs;
        work.number = startedJobs++;
        running.add(work);
    }

    private void releaseSlot(Work work) {
        if (work.inSlot) {
            work.inSlot = false;
            usedSlots--;
            while (usedSlots < shape.slots() && !waiting.isEmpty()) {
                startWork(waiting.poll());
            }
        }
    }

    /** Continues a request of which a part of the work is done, or of which a call to the next tier has returned. */
    private void continueWork(Work work, boolean callReturned) {
        if (!work.repeat && work.takeCall()) {
            work.callNextTier(served -> {
                if (!work.finished) {
                    advanceToNow();
                    if (served) {
                        continueWork(work, true);
                    } else {
                        finishWork(work, Work.Answer.ERROR);
                    }
                    scheduleNextTick();
                }
            });
        } else if (callReturned) {
            run(work, work.partMs());
        } else {
            finishWork(work, Work.Answer.SERVED);
        }
    }

    private void finishWork(Work work, Work.Answer answer) {
        work.finished = true;
        releaseSlot(work);
        work.onAnswered(failing ? Work.Answer.ERROR : answer);
    }

    // ---- time ----

    /** Accounts for the work done since the last update. */
    private void advanceToNow() {
        double now = scheduler.nowMs();
        // Capacity that warms up by time grows linearly, so its mean over the interval is the value in the middle. The
        // work done in the interval affects capacity only afterwards.
        double gained = rate((lastMs + now) / 2) * (now - lastMs);
        attainedMs += gained;
        workDoneMs += gained * running.size();
        workSinceStartMs += gained * running.size();
        lastMs = now;
        updateCrowding(now);
    }

    /** Returns the service in ms that each running job gets per ms. */
    private double rate(double atMs) {
        int jobs = running.size();
        return jobs == 0 || hanging || silent || collapsed
                ? 0
                : shape.speed()
                        * capacityFraction(atMs)
                        / slowness
                        / (Double.isNaN(slowedAtMs) ? 1 : shape.crowding().factor())
                        * Math.min(1, shape.cores() / (double) jobs);
    }

    /** Returns the current capacity as a fraction of full capacity; below 1 while the endpoint warms up. */
    public double capacityFraction() {
        return capacityFraction(scheduler.nowMs());
    }

    private double capacityFraction(double atMs) {
        EndpointShape.ColdStart cold = shape.cold();
        if (cold.warmMs() <= 0 || startedMs == Double.NEGATIVE_INFINITY) {
            return 1;
        }
        double progress = Math.min(1, (atMs - startedMs) / cold.warmMs());
        if (cold.by() == EndpointShape.Warming.WORK) {
            progress =
                    Math.max(progress, Math.min(1, workSinceStartMs / (cold.warmMs() * shape.cores() * shape.speed())));
        }
        return cold.share() + (1 - cold.share()) * progress;
    }

    private void checkColdOverload(double workMs) {
        EndpointShape.ColdStart cold = shape.cold();
        if (collapsed || capacityFraction() >= 1) {
            return;
        }
        double now = scheduler.nowMs();
        coldArrivals.add(new double[] {now, workMs});
        coldArrivalsMs += workMs;
        while (now - coldArrivals.peek()[0] > cold.windowMs()) {
            coldArrivalsMs -= coldArrivals.poll()[1];
        }
        double limitMs = cold.tipMultiple() * capacityFraction() * shape.speed() * shape.cores() * cold.windowMs();
        if (coldArrivalsMs > limitMs) {
            collapsed = true;
        }
    }

    private void updateCrowding(double now) {
        EndpointShape.Crowding crowding = shape.crowding();
        double perCore = held() / (double) shape.cores();
        if (Double.isNaN(slowedAtMs)) {
            if (perCore <= crowding.perCore()) {
                crowdedSinceMs = Double.NaN;
            } else if (Double.isNaN(crowdedSinceMs)) {
                crowdedSinceMs = now;
            } else if (now - crowdedSinceMs >= crowding.afterMs()) {
                slowedAtMs = now;
                idleSinceMs = Double.NaN;
            }
            return;
        }
        if (perCore > IDLE_PER_CORE) {
            idleSinceMs = Double.NaN;
        } else if (Double.isNaN(idleSinceMs)) {
            idleSinceMs = now;
        }
        if (now - idleSinceMs >= crowding.idleMs() || now - slowedAtMs >= crowding.maxMs()) {
            slowedAtMs = Double.NaN;
            crowdedSinceMs = Double.NaN;
        }
    }

    private void scheduleNextTick() {
        if (nextTick != null) {
            nextTick.cancel();
            nextTick = null;
        }
        double rate = rate(scheduler.nowMs());
        boolean speedMayChange = capacityFraction() < 1
                || !Double.isNaN(slowedAtMs)
                || !Double.isNaN(crowdedSinceMs)
                || held() > shape.crowding().perCore() * shape.cores();
        double inMs = rate > 0 ? Math.max(0, (running.peek().target - attainedMs) / rate) : Double.POSITIVE_INFINITY;
        nextToFinish = running.peek();
        if (speedMayChange && !silent && !collapsed && inMs > STEP_MS) {
            inMs = STEP_MS;
            nextToFinish = null;
        }
        if (inMs < Double.POSITIVE_INFINITY) {
            nextTick = scheduler.after(inMs, this::tick);
        }
    }

    private void tick() {
        nextTick = null;
        advanceToNow();
        if (nextToFinish != null && running.peek() == nextToFinish) {
            // Rounding errors of small steps may leave the sum just below the target.
            attainedMs = Math.max(attainedMs, nextToFinish.target);
        }
        while (!running.isEmpty() && running.peek().target <= attainedMs) {
            continueWork(running.poll(), false);
        }
        scheduleNextTick();
    }

    // ---- faults and lifecycle ----

    /** Makes the endpoint {@code factor} times slower than usual; 1 restores its speed. */
    public void slow(double factor) {
        advanceToNow();
        slowness = factor;
        scheduleNextTick();
    }

    /** Stops all progress while still accepting requests, or resumes. */
    public void hang(boolean active) {
        advanceToNow();
        hanging = active;
        scheduleNextTick();
    }

    /** Answers with an error after doing the work, or stops doing so. */
    public void fail(boolean active) {
        failing = active;
    }

    /** Rejects new requests while it finishes those it has, or accepts requests again. */
    public void drain(boolean active) {
        draining = active;
    }

    /** Goes silent: it neither receives nor sends, and all its requests are lost. */
    public void vanish() {
        advanceToNow();
        silent = true;
        discardRequests();
    }

    /** Restarts the endpoint: cold, without requests and without faults except slowness. */
    public void start() {
        advanceToNow();
        discardRequests();
        silent = false;
        draining = false;
        collapsed = false;
        hanging = false;
        failing = false;
        startedMs = scheduler.nowMs();
        workSinceStartMs = 0;
        coldArrivals.clear();
        coldArrivalsMs = 0;
        slowedAtMs = Double.NaN;
        crowdedSinceMs = Double.NaN;
        scheduleNextTick();
    }

    private void discardRequests() {
        running.forEach(work -> work.finished = true);
        waiting.forEach(work -> work.finished = true);
        running.clear();
        waiting.clear();
        usedSlots = 0;
        scheduleNextTick();
    }

    // ---- observable state ----

    /** Returns the number of requests in slots and in the queue. */
    public int held() {
        return usedSlots + waiting.size();
    }

    /** Returns the maximum of {@link #held} so far. */
    public int maxHeld() {
        return maxHeld;
    }

    /** Returns the work done since the run began, in ms on a core of speed 1. */
    public double workDoneMs() {
        advanceToNow();
        return workDoneMs;
    }

    /** Returns whether the endpoint is slow now because it was crowded. */
    public boolean isCrowded() {
        return !Double.isNaN(slowedAtMs);
    }

    /** Returns whether the endpoint has collapsed because it was sent too much work while cold. */
    public boolean hasCollapsed() {
        return collapsed;
    }

    /** Returns the name of the endpoint's present fault, or an empty string. */
    public String faultName() {
        return silent
                ? "silent"
                : collapsed
                        ? "fallen"
                        : hanging
                                ? "hanging"
                                : failing
                                        ? "failing"
                                        : draining
                                                ? "draining"
                                                : slowness > 1
                                                        ? "slow"
                                                        : isCrowded()
                                                                ? "crowded"
                                                                : capacityFraction() < 1 ? "cold" : "";
    }

    /** Returns whether the endpoint is silent: it neither receives nor sends. */
    public boolean isSilent() {
        return silent;
    }

    /** Returns the time of the last start in ms, or minus infinity if that was before the run began. */
    public double startedMs() {
        return startedMs;
    }
}
