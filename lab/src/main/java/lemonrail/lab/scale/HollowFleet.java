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

/** The hollow sidecars, which share a few event loops whose lateness and processor time are monitored. */
final class HollowFleet implements AutoCloseable {

    /**
     * The load of the event loops since the last measurement.
     *
     * @param lagP99Ms the lateness of the latest loop, at the 99th percentile
     * @param cpuMs processor time of all loops
     * @param maxLoopCpuMs processor time of the busiest loop
     */
    record Load(double lagP99Ms, double maxLagMs, double cpuMs, double maxLoopCpuMs) {}

    private final MultiThreadIoEventLoopGroup loopGroup;
    private final List<EventLoop> loops = new ArrayList<>();
    private final List<EventLoopMonitor> monitors = new ArrayList<>();
    private final EdgeConfig config;
    private final long seed;
    /** The running sidecars, by the number of their endpoint. */
    private final Map<Integer, HollowSidecar> sidecars = new TreeMap<>();

    HollowFleet(int loopCount, EdgeConfig config, long seed) {
        this.config = config;
        this.seed = seed;
        loopGroup = new MultiThreadIoEventLoopGroup(
                loopCount, new DefaultThreadFactory("hollow", true), NioIoHandler.newFactory());
        for (int i = 0; i < loopCount; i++) {
            loops.add((EventLoop) loopGroup.next());
            monitors.add(new EventLoopMonitor(loops.get(i)));
        }
    }

    /**
     * Starts the sidecars beside these endpoints in parallel.
     *
     * @param listNames returns the name of a sidecar's list
     * @param nodes returns the control node that a sidecar watches first
     */
    void start(Collection<Integer> numbers, ControlPlane plane, IntFunction<String> listNames, IntUnaryOperator nodes) {
        Map<Integer, Future<HollowSidecar>> starting = new TreeMap<>();
        for (int number : numbers) {
            EventLoop loop = loops.get(number % loops.size());
            starting.put(
                    number,
                    loop.submit(() -> new HollowSidecar(
                            loop,
                            config,
                            seed + number,
                            plane,
                            number,
                            listNames.apply(number),
                            nodes.applyAsInt(number))));
        }
        starting.forEach((number, created) ->
                sidecars.put(number, created.syncUninterruptibly().getNow()));
    }

    /** Stops the sidecars beside these endpoints as if their processes had ended. */
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

    /** Makes all sidecars continue at another address of the control plane, as by a reload of each one's settings. */
    void moveToOtherAddress() {
        sidecars.values().forEach(sidecar -> sidecar.loop().execute(sidecar::moveToOtherAddress));
    }

    /** Discards all recorded updates but the last one of each endpoint. */
    void discardOldUpdates() {
        sidecars.values().forEach(HollowSidecar::discardOldUpdates);
    }

    /** Returns how many full snapshots the running sidecars have received in total. */
    long fullListCount() {
        return sidecars.values().stream()
                .mapToLong(HollowSidecar::fullListCount)
                .sum();
    }

    /** Returns the running sidecars. */
    Collection<HollowSidecar> sidecars() {
        return List.copyOf(sidecars.values());
    }

    /** Returns how many sidecars have these lists in their load balancers. */
    int countUpToDate(Map<String, Map<String, EndpointEntry>> lists) {
        List<Future<Boolean>> checks = new ArrayList<>();
        sidecars.values()
                .forEach(sidecar ->
                        checks.add(sidecar.loop().submit(() -> sidecar.hasEntries(lists.get(sidecar.listName())))));
        return (int) checks.stream()
                .filter(check -> check.syncUninterruptibly().getNow())
                .count();
    }

    /** Returns the load of the event loops since the last call. */
    Load takeLoad() {
        double maxLagP99Ms = 0;
        double maxLagMs = 0;
        double totalCpuMs = 0;
        double maxLoopCpuMs = 0;
        for (EventLoopMonitor monitor : monitors) {
            EventLoopMonitor.Sample sample = monitor.takeAndReset();
            maxLagP99Ms = Math.max(maxLagP99Ms, sample.lagP99Ms());
            maxLagMs = Math.max(maxLagMs, sample.maxLagMs());
            totalCpuMs += sample.cpuMs();
            maxLoopCpuMs = Math.max(maxLoopCpuMs, sample.cpuMs());
        }
        return new Load(maxLagP99Ms, maxLagMs, totalCpuMs, maxLoopCpuMs);
    }

    @Override
    public void close() {
        stop(List.copyOf(sidecars.keySet()));
        monitors.forEach(EventLoopMonitor::close);
        loopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
