package lemonrail.lab.model;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * An endpoint: requests take slots, those in work share its cores evenly, others wait. With as many slots as
 * cores it serves first come, first served (M/M/c, given such work); with more it shares the processor.
 */
public final class EndpointModel {

    /** While its speed changes by itself, it is looked at anew after so long. */
    private static final double STEP_MS = 20;
    /** Held requests a core up to which an endpoint counts as mostly idle. */
    private static final double IDLE_PER_CORE = 0.5;

    private final Scheduler scheduler;
    private final EndpointShape shape;
    private final Rack rack;
    private final PriorityQueue<Work> running = new PriorityQueue<>(
            Comparator.comparingDouble((Work work) -> work.target).thenComparingLong(work -> work.number));
    private final Deque<Work> waiting = new ArrayDeque<>();
    private Scheduler.Due next;
    /** Whose part of work is done when {@link #next} comes, or null. */
    private Work ends;

    private double lastMs;
    /** Work that each running job has had since the beginning of time. */
    private double attained;

    private long ran;
    private int taken;
    private int connections;
    private double startedMs = Double.NEGATIVE_INFINITY;
    private double warmedBy;
    private double slowness = 1;
    private boolean hangs;
    private boolean fails;
    private boolean silent;
    private boolean draining;
    private boolean fallen;
    private double crowdedSince = Double.NaN;
    private double calmSince = Double.NaN;
    private double slowedAt = Double.NaN;
    private double doneMs;
    private int mostHeld;
    /** Work sent to it while cold, by when. */
    private final Deque<double[]> sentCold = new ArrayDeque<>();

    private double sentColdMs;

    /** An endpoint that has run for long and is warm. */
    public EndpointModel(Scheduler scheduler, EndpointShape shape, Rack rack) {
        this.scheduler = scheduler;
        this.shape = shape;
        this.rack = rack;
        lastMs = scheduler.nowMs();
    }

    /** What it is. */
    public EndpointShape shape() {
        return shape;
    }

    // ---- requests ----

    /** A new connection; false where it holds as many as it can, or says nothing. */
    public boolean connect() {
        if (silent || connections >= shape.connections()) {
            return false;
        }
        connections++;
        return true;
    }

    /** A connection is gone. */
    public void disconnect() {
        connections--;
    }

    /** A handshake's work is done before {@code then} happens. */
    public void handshake(Runnable then) {
        if (shape.handshakeMs() <= 0) {
            then.run();
            return;
        }
        settle();
        run(new Handshake(shape.handshakeMs(), then), shape.handshakeMs());
        plan();
    }

    private static final class Handshake extends Work {
        private final Runnable then;

        Handshake(double workMs, Runnable then) {
            super(null, workMs, 0);
            this.then = then;
        }

        @Override
        protected void began() {
            // A handshake has no effect.
        }

        @Override
        protected void call(Consumer<Boolean> done) {
            throw new IllegalStateException("a handshake calls nobody");
        }

        @Override
        protected void answered(Answer answer) {
            then.run();
        }
    }

    /** A request has come whole. */
    public void offer(Work work) {
        if (silent) {
            return;
        }
        settle();
        countCold(work.workMs());
        if (fallen) {
            return;
        }
        if (draining || (taken >= shape.slots() && waiting.size() >= shape.waitingRoom())) {
            work.over = true;
            work.answered(Work.Answer.TURNED_AWAY);
            return;
        }
        if (taken >= shape.slots()) {
            waiting.add(work);
        } else {
            begin(work);
        }
        mostHeld = Math.max(mostHeld, held());
        plan();
    }

    /** Nobody waits for this request any more: its work stops. */
    public void cancel(Work work) {
        if (work.over) {
            return;
        }
        settle();
        work.over = true;
        if (!waiting.remove(work)) {
            running.remove(work);
            free(work);
        }
        plan();
    }

    private void begin(Work work) {
        taken++;
        work.slotted = true;
        if (work.key() != null && !rack.begin(work.key())) {
            // A repeat of what this rack has begun: it is answered at no work, and has no second effect.
            work.repeat = true;
            run(work, 0);
            return;
        }
        work.began();
        run(work, work.partMs());
    }

    private void run(Work work, double partMs) {
        work.target = attained + partMs;
        work.number = ran++;
        running.add(work);
    }

    private void free(Work work) {
        if (work.slotted) {
            work.slotted = false;
            taken--;
            while (taken < shape.slots() && !waiting.isEmpty()) {
                begin(waiting.poll());
            }
        }
    }

    /** A part of a request's work is done, or a call of it has come back. */
    private void advance(Work work, boolean called) {
        if (!work.repeat && work.takeCall()) {
            work.call(served -> {
                if (!work.over) {
                    settle();
                    if (served) {
                        advance(work, true);
                    } else {
                        end(work, Work.Answer.ERROR);
                    }
                    plan();
                }
            });
        } else if (called) {
            run(work, work.partMs());
        } else {
            end(work, Work.Answer.SERVED);
        }
    }

    private void end(Work work, Work.Answer answer) {
        work.over = true;
        free(work);
        work.answered(fails ? Work.Answer.ERROR : answer);
    }

    // ---- time ----

    /** Brings what has been done up to now. */
    private void settle() {
        double now = scheduler.nowMs();
        // Capacity that grows evenly is in the mean what it was halfway.
        double had = rate((lastMs + now) / 2) * (now - lastMs);
        attained += had;
        doneMs += had * running.size();
        warmedBy += had * running.size();
        lastMs = now;
        crowd(now);
    }

    /** Work that each running job has a millisecond. */
    private double rate(double atMs) {
        int jobs = running.size();
        return jobs == 0 || hangs || silent || fallen
                ? 0
                : shape.speed()
                        * warmth(atMs)
                        / slowness
                        / (Double.isNaN(slowedAt) ? 1 : shape.crowding().factor())
                        * Math.min(1, shape.cores() / (double) jobs);
    }

    /** The share of its full capacity that it has now. */
    public double warmth() {
        return warmth(scheduler.nowMs());
    }

    private double warmth(double atMs) {
        EndpointShape.ColdStart cold = shape.cold();
        if (cold.warmMs() <= 0 || startedMs == Double.NEGATIVE_INFINITY) {
            return 1;
        }
        double grown = Math.min(1, (atMs - startedMs) / cold.warmMs());
        if (cold.by() == EndpointShape.Warming.WORK) {
            grown = Math.max(grown, Math.min(1, warmedBy / (cold.warmMs() * shape.cores() * shape.speed())));
        }
        return cold.share() + (1 - cold.share()) * grown;
    }

    private void countCold(double workMs) {
        EndpointShape.ColdStart cold = shape.cold();
        if (fallen || warmth() >= 1) {
            return;
        }
        double now = scheduler.nowMs();
        sentCold.add(new double[] {now, workMs});
        sentColdMs += workMs;
        while (now - sentCold.peek()[0] > cold.windowMs()) {
            sentColdMs -= sentCold.poll()[1];
        }
        double bears = cold.tipMultiple() * warmth() * shape.speed() * shape.cores() * cold.windowMs();
        if (sentColdMs > bears) {
            fallen = true;
        }
    }

    private void crowd(double now) {
        EndpointShape.Crowding crowding = shape.crowding();
        double perCore = held() / (double) shape.cores();
        if (Double.isNaN(slowedAt)) {
            if (perCore <= crowding.perCore()) {
                crowdedSince = Double.NaN;
            } else if (Double.isNaN(crowdedSince)) {
                crowdedSince = now;
            } else if (now - crowdedSince >= crowding.afterMs()) {
                slowedAt = now;
                calmSince = Double.NaN;
            }
            return;
        }
        if (perCore > IDLE_PER_CORE) {
            calmSince = Double.NaN;
        } else if (Double.isNaN(calmSince)) {
            calmSince = now;
        }
        if (now - calmSince >= crowding.calmMs() || now - slowedAt >= crowding.mostMs()) {
            slowedAt = Double.NaN;
            crowdedSince = Double.NaN;
        }
    }

    private void plan() {
        if (next != null) {
            next.cancel();
            next = null;
        }
        double rate = rate(scheduler.nowMs());
        boolean changes = warmth() < 1
                || !Double.isNaN(slowedAt)
                || !Double.isNaN(crowdedSince)
                || held() > shape.crowding().perCore() * shape.cores();
        double inMs = rate > 0 ? Math.max(0, (running.peek().target - attained) / rate) : Double.POSITIVE_INFINITY;
        ends = running.peek();
        if (changes && !silent && !fallen && inMs > STEP_MS) {
            inMs = STEP_MS;
            ends = null;
        }
        if (inMs < Double.POSITIVE_INFINITY) {
            next = scheduler.after(inMs, this::tick);
        }
    }

    private void tick() {
        next = null;
        settle();
        if (ends != null && running.peek() == ends) {
            // Sums of small steps do not meet the target to the last digit.
            attained = Math.max(attained, ends.target);
        }
        while (!running.isEmpty() && running.peek().target <= attained) {
            advance(running.poll(), false);
        }
        plan();
    }

    // ---- what befalls it ----

    /** So many times slower than usual from now on. */
    public void slow(double times) {
        settle();
        slowness = times;
        plan();
    }

    /** Takes requests and gets nowhere with them, or goes on where it stood. */
    public void hang(boolean now) {
        settle();
        hangs = now;
        plan();
    }

    /** Does its work and answers with an error, or no longer so. */
    public void fail(boolean now) {
        fails = now;
    }

    /** Wants nothing new and finishes what it has, or takes requests again. */
    public void drain(boolean now) {
        draining = now;
    }

    /** Says and hears nothing from now on; what it had is lost. */
    public void vanish() {
        settle();
        silent = true;
        lose();
    }

    /** Starts anew, cold, and with nothing of what it had. */
    public void start() {
        settle();
        lose();
        silent = false;
        draining = false;
        fallen = false;
        hangs = false;
        fails = false;
        startedMs = scheduler.nowMs();
        warmedBy = 0;
        sentCold.clear();
        sentColdMs = 0;
        slowedAt = Double.NaN;
        crowdedSince = Double.NaN;
        plan();
    }

    private void lose() {
        running.forEach(work -> work.over = true);
        waiting.forEach(work -> work.over = true);
        running.clear();
        waiting.clear();
        taken = 0;
        plan();
    }

    // ---- what can be seen of it ----

    /** Requests that it holds, in slots or waiting. */
    public int held() {
        return taken + waiting.size();
    }

    /** The most that it has held at once. */
    public int mostHeld() {
        return mostHeld;
    }

    /** Milliseconds of work done since the run began, on a core of speed 1. */
    public double doneMs() {
        settle();
        return doneMs;
    }

    /** Whether it has turned slow because it was crowded. */
    public boolean isCrowded() {
        return !Double.isNaN(slowedAt);
    }

    /** Whether it was sent too much while cold. */
    public boolean hasFallen() {
        return fallen;
    }

    /** What is wrong with it now, in a word, or nothing. */
    public String trouble() {
        return silent
                ? "silent"
                : fallen
                        ? "fallen"
                        : hangs
                                ? "hanging"
                                : fails
                                        ? "failing"
                                        : draining
                                                ? "draining"
                                                : slowness > 1
                                                        ? "slow"
                                                        : isCrowded() ? "crowded" : warmth() < 1 ? "cold" : "";
    }

    /** Whether it says nothing. */
    public boolean isSilent() {
        return silent;
    }

    /** When it started last, or minus infinity where that was before the run began. */
    public double startedMs() {
        return startedMs;
    }
}
