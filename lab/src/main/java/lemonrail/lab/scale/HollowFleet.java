package lemonrail.lab.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.function.IntUnaryOperator;
import lemonrail.config.EdgeConfig;

/** Hollow sidecars on a few event loops, whose lateness and processor time are watched. */
final class HollowFleet implements AutoCloseable {

    /**
     * What the loops were like since they were last asked.
     *
     * @param cpuMs of all loops together
     * @param mostCpuMs of the busiest
     */
    record Load(double lagP99Ms, double lagMostMs, double cpuMs, double mostCpuMs) {}

    private final MultiThreadIoEventLoopGroup group;
    private final List<EventLoop> loops = new ArrayList<>();
    private final List<LoopWatch> watches = new ArrayList<>();
    private final EdgeConfig config;
    private final long seed;
    /** Those that run, by the number of their endpoint. */
    private final Map<Integer, HollowSidecar> sidecars = new TreeMap<>();

    HollowFleet(int loopCount, EdgeConfig config, long seed) {
        this.config = config;
        this.seed = seed;
        group = new MultiThreadIoEventLoopGroup(
                loopCount, new DefaultThreadFactory("hollow", true), NioIoHandler.newFactory());
        for (int i = 0; i < loopCount; i++) {
            loops.add((EventLoop) group.next());
            watches.add(new LoopWatch(loops.get(i)));
        }
    }

    /** Starts the sidecars of these numbers at once. */
    void start(Collection<Integer> numbers, ControlPlane plane, IntFunction<String> list, IntUnaryOperator node) {
        Map<Integer, Future<HollowSidecar>> starting = new TreeMap<>();
        for (int number : numbers) {
            EventLoop loop = loops.get(number % loops.size());
            starting.put(
                    number,
                    loop.submit(() -> new HollowSidecar(
                            loop, config, seed + number, plane, number, list.apply(number), node.applyAsInt(number))));
        }
        starting.forEach((number, made) ->
                sidecars.put(number, made.syncUninterruptibly().getNow()));
    }

    /** The processes of these are gone. */
    void stop(Collection<Integer> numbers) {
        List<Future<?>> stopping = new ArrayList<>();
        for (int number : numbers) {
            HollowSidecar sidecar = sidecars.remove(number);
            if (sidecar != null) {
                stopping.add(sidecar.loop().submit(sidecar::close));
            }
        }
        stopping.forEach(Future::syncUninterruptibly);
    }

    /** All go on at another place, as by a reload of each. */
    void elsewhere() {
        sidecars.values().forEach(sidecar -> sidecar.loop().execute(sidecar::elsewhere));
    }

    /** What was told before the last word on each endpoint is of no more use. */
    void forget() {
        sidecars.values().forEach(HollowSidecar::forget);
    }

    /** How many whole lists they have been told, all together. */
    long wholeLists() {
        return sidecars.values().stream().mapToLong(HollowSidecar::wholeLists).sum();
    }

    /** Those that run. */
    Collection<HollowSidecar> sidecars() {
        return List.copyOf(sidecars.values());
    }

    /** How many of them have, in their deciders, what control says now. */
    int knowing(Map<String, Map<String, EndpointEntry>> lists) {
        List<Future<Boolean>> asked = new ArrayList<>();
        sidecars.values()
                .forEach(sidecar -> asked.add(sidecar.loop().submit(() -> sidecar.knows(lists.get(sidecar.list())))));
        return (int)
                asked.stream().filter(one -> one.syncUninterruptibly().getNow()).count();
    }

    /** What the loops were like since the last call. */
    Load load() {
        double p99 = 0;
        double most = 0;
        double cpu = 0;
        double mostCpu = 0;
        for (LoopWatch watch : watches) {
            LoopWatch.Seen seen = watch.take();
            p99 = Math.max(p99, seen.lagP99Ms());
            most = Math.max(most, seen.lagMostMs());
            cpu += seen.cpuMs();
            mostCpu = Math.max(mostCpu, seen.cpuMs());
        }
        return new Load(p99, most, cpu, mostCpu);
    }

    @Override
    public void close() {
        stop(List.copyOf(sidecars.keySet()));
        watches.forEach(LoopWatch::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
