package lemonrail.assembly;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One seeded run of the soak: a real sidecar process before endpoints with faults, clients that use their connections
 * until the process is killed, signals in series, and in some runs a crowd or an upgrade. The process is killed as
 * early as the platform may do so.
 */
final class SoakRun implements Closeable {

    private static final int ENDPOINTS = 6;
    private static final int CLIENTS = 16;
    private static final int LONGEST_DEADLINE_MS = 2000;
    private static final int KILL_AFTER_TERM_MS = LONGEST_DEADLINE_MS + 700;
    private static final int[] MEMORY_MB = {96, 128, 192};
    private static final int BEFORE_SIGNALS_MS = 1000;
    private static final int MAX_SIGNALS = 6;
    /** The longest time for which a process may be held up. */
    private static final int STALL_MS = 150;

    private static final int MAX_PHASE_MS = 1500;
    private static final int CLIENT_END_MS = 8000;

    final SoakRecord record = new SoakRecord();
    private final long seed;
    private final Random random;
    private final Path folder;
    private final List<SoakEndpoint> endpoints = new ArrayList<>();
    private final List<SidecarChildProcess> processes = new ArrayList<>();
    private final AtomicBoolean running = new AtomicBoolean(true);
    private final SocketChannel reservation = SocketChannel.open();
    private final SidecarFixture fixture;
    private final Path config;
    private final int memoryMb;
    final boolean hasCrowd;
    final boolean hasUpgrade;
    int peakMb;

    SoakRun(long seed, Path folder) throws IOException {
        this.seed = seed;
        this.folder = folder;
        random = new Random(seed);
        memoryMb = MEMORY_MB[random.nextInt(MEMORY_MB.length)];
        hasCrowd = random.nextInt(2) == 0;
        hasUpgrade = random.nextInt(3) == 0;
        StubEndpoint[] stubs = new StubEndpoint[ENDPOINTS];
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(new SoakEndpoint(record, seed * ENDPOINTS + i));
            stubs[i] = endpoints.get(i).stub();
        }
        fixture = new SidecarFixture(stubs);
        fixture.latencyObjectiveMs = 1000;
        reservation.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        reservation.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        config = Files.writeString(
                folder.resolve("config.json"),
                fixture.config()
                        .replace("127.0.0.1:0", "127.0.0.1:" + address().getPort())
                        .replace("\"hard-limit-ms\":9000", "\"hard-limit-ms\":" + LONGEST_DEADLINE_MS)
                        .replace("\"dial-timeout-ms\":2000", "\"dial-timeout-ms\":200")
                        .replace("\"memory_mb\":192", "\"memory_mb\":" + memoryMb));
    }

    private InetSocketAddress address() throws IOException {
        return (InetSocketAddress) reservation.getLocalAddress();
    }

    /** Plays the run. */
    void play() throws Exception {
        SidecarChildProcess sidecar = startProcess();
        List<Thread> clients = startClients();
        sleepUpTo(MAX_PHASE_MS);
        if (hasCrowd) {
            SoakCrowd crowd = new SoakCrowd(address(), running, seed);
            crowd.start();
            clients.add(crowd);
        }
        TimeUnit.MILLISECONDS.sleep(BEFORE_SIGNALS_MS);
        for (int i = random.nextInt(MAX_SIGNALS); i > 0; i--) {
            if (random.nextBoolean()) {
                signal(sidecar, "HUP");
            } else {
                stall(sidecar);
            }
            sleepUpTo(MAX_PHASE_MS / 3);
        }
        sleepUpTo(MAX_PHASE_MS);
        SidecarChildProcess successor = hasUpgrade ? startProcess() : null;
        endByTheEarliestKill(sidecar);
        if (successor == null) {
            successor = startProcess();
        }
        sleepUpTo(2 * MAX_PHASE_MS);
        running.set(false);
        for (Thread client : clients) {
            client.join(CLIENT_END_MS);
        }
        checkRunning(successor);
        endByTheEarliestKill(successor);
    }

    private SidecarChildProcess startProcess() throws Exception {
        SidecarChildProcess process = DeployedSidecar.start(config, folder);
        processes.add(process);
        return process;
    }

    private List<Thread> startClients() throws IOException {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Thread client = new SoakClient(address(), record, running, seed, i);
            client.start();
            clients.add(client);
        }
        return clients;
    }

    private void sleepUpTo(int ms) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(ms));
    }

    private static void signal(SidecarChildProcess sidecar, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(sidecar.process.pid()))
                .start()
                .waitFor();
    }

    private static void stall(SidecarChildProcess sidecar) throws Exception {
        signal(sidecar, "STOP");
        TimeUnit.MILLISECONDS.sleep(STALL_MS);
        signal(sidecar, "CONT");
    }

    /** Sends SIGTERM, possibly more than once, and SIGKILL if the process runs when it may be killed. */
    private void endByTheEarliestKill(SidecarChildProcess sidecar) throws Exception {
        checkRunning(sidecar);
        long startNs = System.nanoTime();
        signal(sidecar, "TERM");
        if (random.nextBoolean()) {
            signal(sidecar, "TERM");
            signal(sidecar, "HUP");
        }
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
        boolean ended = sidecar.process.waitFor(KILL_AFTER_TERM_MS - elapsedMs, TimeUnit.MILLISECONDS);
        if (ended && sidecar.process.exitValue() != 0) {
            record.onViolation("crash: exit status " + sidecar.process.exitValue() + " after SIGTERM: " + sidecar.log);
        }
        record.onOutcome(ended ? "process ended itself after SIGTERM" : "process killed");
        record.onKill();
        sidecar.process.destroyForcibly().waitFor();
    }

    private void checkRunning(SidecarChildProcess sidecar) throws IOException {
        if (!sidecar.process.isAlive()) {
            record.onViolation("crash: exit status " + sidecar.process.exitValue() + ": " + sidecar.log);
            return;
        }
        int totalMb = 0;
        for (SidecarChildProcess process : processes) {
            totalMb += process.process.isAlive() ? DeployedSidecar.memoryMb(process, "VmHWM") : 0;
        }
        peakMb = Math.max(peakMb, totalMb);
        if (totalMb > memoryMb && !(hasUpgrade && memoryMb < 192)) {
            record.onViolation("memory: " + totalMb + " MB of " + memoryMb);
        }
        if (sidecar.hasLogged("OutOfMemory") || sidecar.hasLogged("unexpected exception")) {
            record.onViolation("fault: " + sidecar.log);
        }
    }

    @Override
    public String toString() {
        return "seed " + seed + ": " + memoryMb + " MB, peak " + peakMb + " MB" + (hasCrowd ? ", crowd" : "")
                + (hasUpgrade ? ", upgrade" : "") + ", " + record.outcomes() + ", broken: " + record.violations();
    }

    @Override
    public void close() throws IOException {
        running.set(false);
        processes.forEach(process -> process.process.destroyForcibly());
        reservation.close();
        fixture.close();
        for (SoakEndpoint endpoint : endpoints) {
            endpoint.close();
        }
    }
}
