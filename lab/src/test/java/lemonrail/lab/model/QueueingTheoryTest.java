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

/** The models against the textbook: Erlang C for an open endpoint, mean value analysis for a closed chain. */
class QueueingTheoryTest {

    private static final double MEAN_MS = 100;
    private static final int MANY = 1_000_000;

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
                        MANY,
                        MANY,
                        0,
                        EndpointShape.ColdStart.NONE,
                        EndpointShape.Crowding.NONE),
                new Rack(scheduler, 1000));
    }

    private final class Timed extends Work {
        private final double sentMs = scheduler.nowMs();
        private final Consumer<Double> taken;

        Timed(double workMs, Consumer<Double> taken) {
            super(null, workMs, 0);
            this.taken = taken;
        }

        @Override
        protected void onStarted() {
            // Nothing is counted here.
        }

        @Override
        protected void callNextTier(Consumer<Boolean> done) {
            throw new IllegalStateException("there is no next tier");
        }

        @Override
        protected void onAnswered(Answer answer) {
            assertEquals(Answer.SERVED, answer);
            taken.accept(scheduler.nowMs() - sentMs);
        }
    }

    /** Mean time in an M/M/c queue, by Erlang's C formula. */
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
    void anOpenEndpointTakesAsLongAsErlangSays(int cores, double used, int slots) {
        // With one core, sharing the processor takes the same mean time as waiting in line.
        EndpointModel endpoint = endpoint(cores, slots);
        Arrivals arrivals = new Arrivals(1000 * used * cores / MEAN_MS, Arrivals.Spacing.POISSON, random);
        double[] sum = new double[2];
        int count = 400_000;
        double at = 0;
        for (int i = 0; i < count; i++) {
            at = arrivals.nextMs();
            scheduler.runUntil(at);
            endpoint.offer(new Timed(exponential(MEAN_MS), took -> {
                sum[0] += took;
                sum[1]++;
            }));
        }
        scheduler.runUntil(at + 1e6);
        assertEquals(count, sum[1]);
        double expected = erlangC(cores, used * cores);
        assertEquals(expected, sum[0] / count, expected * 0.04);
    }

    /** Throughput of a closed chain of single-core stations, by mean value analysis; per ms. */
    private static double closed(double[] demands, int customers, double thinkMs) {
        double[] held = new double[demands.length];
        double throughput = 0;
        for (int n = 1; n <= customers; n++) {
            double total = thinkMs;
            double[] times = new double[demands.length];
            for (int i = 0; i < demands.length; i++) {
                times[i] = demands[i] * (1 + held[i]);
                total += times[i];
            }
            throughput = n / total;
            for (int i = 0; i < demands.length; i++) {
                held[i] = throughput * times[i];
            }
        }
        return throughput;
    }

    @ParameterizedTest
    @CsvSource({"1,0", "5,0", "20,300", "50,1000"})
    void aClosedChainCarriesAsMuchAsMeanValueAnalysisSays(int customers, double thinkMs) {
        double[] demands = {40, 60, 25};
        List<EndpointModel> chain = new ArrayList<>();
        for (int i = 0; i < demands.length; i++) {
            chain.add(endpoint(1, 1));
        }
        long[] done = new long[1];
        double lengthMs = 20_000_000;
        for (int i = 0; i < customers; i++) {
            new Customer(chain, demands, thinkMs, done).go(0);
        }
        scheduler.runUntil(lengthMs);
        double expected = closed(demands, customers, thinkMs);
        assertEquals(expected, done[0] / lengthMs, expected * 0.01);
    }

    private final class Customer {
        private final List<EndpointModel> chain;
        private final double[] demands;
        private final double thinkMs;
        private final long[] done;

        Customer(List<EndpointModel> chain, double[] demands, double thinkMs, long[] done) {
            this.chain = chain;
            this.demands = demands;
            this.thinkMs = thinkMs;
            this.done = done;
        }

        void go(int station) {
            if (station == chain.size()) {
                done[0]++;
                scheduler.after(thinkMs > 0 ? exponential(thinkMs) : 0, () -> go(0));
                return;
            }
            chain.get(station).offer(new Timed(exponential(demands[station]), took -> go(station + 1)));
        }
    }

    @Test
    void workIsNeitherLostNorMadeByChangesOfSpeed() {
        EndpointModel endpoint = endpoint(2, 4);
        double[] took = new double[1];
        endpoint.offer(new Timed(1000, ms -> took[0] = ms));
        scheduler.after(100, () -> endpoint.slow(4));
        scheduler.after(500, () -> endpoint.hang(true));
        scheduler.after(1500, () -> endpoint.hang(false));
        scheduler.after(1700, () -> endpoint.slow(1));
        scheduler.runUntil(10_000);
        // 100 alone, 400 and 200 at a quarter, and what is left of 1000 after a stop of 1000.
        assertEquals(100 + 400 + 1000 + 200 + (1000 - 100 - 100 - 50), took[0], 1e-6);
        assertEquals(1000, endpoint.workDoneMs(), 1e-6);
    }
}
