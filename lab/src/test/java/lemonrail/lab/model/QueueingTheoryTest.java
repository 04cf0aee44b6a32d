package lemonrail.lab.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compares the models with queueing theory: Erlang C for an open endpoint, mean value analysis for a closed chain. */
class QueueingTheoryTest {

    private static final double MEAN_MS = 100;
    private static final int UNLIMITED = 1_000_000;

    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(11L);

    private double exponential(double mean) {
        return -mean * Math.log1p(-random.nextDouble());
    }

    private EndpointModel endpoint(int cores, int slots) {
        return new EndpointModel(
                scheduler,
                new EndpointShape(
                        "e",
                        0,
                        cores,
                        1,
                        slots,
                        UNLIMITED,
                        UNLIMITED,
                        0,
                        EndpointShape.ColdStart.NONE,
                        EndpointShape.Crowding.NONE),
                new Rack(scheduler, 1000));
    }

    private final class TimedWork extends Work {
        private final double sentMs = scheduler.nowMs();
        private final Consumer<Double> onServed;

        TimedWork(double workMs, Consumer<Double> onServed) {
            super(null, workMs, 0);
            this.onServed = onServed;
        }

        @Override
        protected void onStarted() {
            // Only responses are measured.
        }

        @Override
        protected void callNextTier(Consumer<Boolean> done) {
            throw new IllegalStateException("this model has no next tier");
        }

        @Override
        protected void onAnswered(Answer answer) {
            assertEquals(Answer.SERVED, answer);
            onServed.accept(scheduler.nowMs() - sentMs);
        }
    }

    /** Returns the mean time in an M/M/c queue by the Erlang C formula. */
    private static double erlangC(int c, double load) {
        double term = 1;
        double sum = 1;
        for (int k = 1; k < c; k++) {
            term *= load / k;
            sum += term;
        }
        double last = term * load / c * c / (c - load);
        return MEAN_MS + last / (sum + last) * MEAN_MS / (c - load);
    }

    @ParameterizedTest
    @CsvSource({"1,0.5,1", "1,0.8,1", "2,0.7,2", "4,0.8,4", "8,0.9,8", "1,0.7,1000"})
    void openEndpointMatchesErlangC(int cores, double utilization, int slots) {
        // With one core, processor sharing and a first-in-first-out queue have the same mean time.
        EndpointModel endpoint = endpoint(cores, slots);
        Arrivals arrivals = new Arrivals(1000 * utilization * cores / MEAN_MS, Arrivals.Spacing.POISSON, random);
        double[] sum = new double[2];
        int count = 400_000;
        double at = 0;
        for (int i = 0; i < count; i++) {
            at = arrivals.nextMs();
            scheduler.runUntil(at);
            endpoint.offer(new TimedWork(exponential(MEAN_MS), took -> {
                sum[0] += took;
                sum[1]++;
            }));
        }
        scheduler.runUntil(at + 1e6);
        assertEquals(count, sum[1]);
        double expected = erlangC(cores, utilization * cores);
        assertEquals(expected, sum[0] / count, expected * 0.04);
    }

    /** Returns the throughput per ms of a closed chain of single-core stations, by mean value analysis. */
    private static double closedChainThroughput(double[] demands, int customers, double thinkMs) {
        double[] queueLengths = new double[demands.length];
        double throughput = 0;
        for (int n = 1; n <= customers; n++) {
            double total = thinkMs;
            double[] times = new double[demands.length];
            for (int i = 0; i < demands.length; i++) {
                times[i] = demands[i] * (1 + queueLengths[i]);
                total += times[i];
            }
            throughput = n / total;
            for (int i = 0; i < demands.length; i++) {
                queueLengths[i] = throughput * times[i];
            }
        }
        return throughput;
    }

    @ParameterizedTest
    @CsvSource({"1,0", "5,0", "20,300", "50,1000"})
    void closedChainMatchesMeanValueAnalysis(int customers, double thinkMs) {
        double[] demands = {40, 60, 25};
        List<EndpointModel> chain = new ArrayList<>();
        for (int i = 0; i < demands.length; i++) {
            chain.add(endpoint(1, 1));
        }
        long[] completed = new long[1];
        double lengthMs = 20_000_000;
        for (int i = 0; i < customers; i++) {
            new Customer(chain, demands, thinkMs, completed).visit(0);
        }
        scheduler.runUntil(lengthMs);
        double expected = closedChainThroughput(demands, customers, thinkMs);
        assertEquals(expected, completed[0] / lengthMs, expected * 0.01);
    }

    private final class Customer {
        private final List<EndpointModel> chain;
        private final double[] demands;
        private final double thinkMs;
        private final long[] completed;

        Customer(List<EndpointModel> chain, double[] demands, double thinkMs, long[] completed) {
            this.chain = chain;
            this.demands = demands;
            this.thinkMs = thinkMs;
            this.completed = completed;
        }

        void visit(int station) {
            if (station == chain.size()) {
                completed[0]++;
                scheduler.after(thinkMs > 0 ? exponential(thinkMs) : 0, () -> visit(0));
                return;
            }
            chain.get(station).offer(new TimedWork(exponential(demands[station]), took -> visit(station + 1)));
        }
    }

    @Test
    void speedChangesNeitherLoseNorAddWork() {
        EndpointModel endpoint = endpoint(2, 4);
        double[] tookMs = new double[1];
        endpoint.offer(new TimedWork(1000, ms -> tookMs[0] = ms));
        scheduler.after(100, () -> endpoint.slow(4));
        scheduler.after(500, () -> endpoint.hang(true));
        scheduler.after(1500, () -> endpoint.hang(false));
        scheduler.after(1700, () -> endpoint.slow(1));
        scheduler.runUntil(10_000);
        // 100 ms at full speed, 400 and 200 ms at a quarter, a stop of 1000 ms, and then the rest of the 1000 ms of
        // work.
        assertEquals(100 + 400 + 1000 + 200 + (1000 - 100 - 100 - 50), tookMs[0], 1e-6);
        assertEquals(1000, endpoint.workDoneMs(), 1e-6);
    }
}
