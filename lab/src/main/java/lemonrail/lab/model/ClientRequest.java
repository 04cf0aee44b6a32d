package lemonrail.lab.model;

import java.util.ArrayList;
import java.util.List;

/** What one client wants, over all of its tries. */
public final class ClientRequest {

    /** How a try ended, as its client saw it. */
    public enum End {
        /** Whole and with what was asked for. */
        SERVED,
        /** Turned away, as harmless to repeat. */
        REFUSED,
        /** Any other answer. */
        FAILED,
        /** The connection ended without a whole answer. */
        LOST,
        /** No answer came before the client gave up. */
        GIVEN_UP,
        /** The connection did not come up. */
        UNREACHED
    }

    /** One try; its times are the run's, in ms. */
    public record Try(String id, double sentMs, double endedMs, End end, int status) {}

    private final int number;
    private final double arrivedMs;
    private final int requestClass;
    private final int tenant;
    private final double workMs;
    private final String key;
    private final List<Try> tries = new ArrayList<>(1);

    /** What a client wants from {@code arrivedMs} on; {@code key} is null where the class carries none. */
    public ClientRequest(int number, double arrivedMs, int requestClass, int tenant, double workMs, String key) {
        this.number = number;
        this.arrivedMs = arrivedMs;
        this.requestClass = requestClass;
        this.tenant = tenant;
        this.workMs = workMs;
        this.key = key;
    }

    /** Its place among all, from 0. */
    public int number() {
        return number;
    }

    /** When it was due, in ms of the run. */
    public double arrivedMs() {
        return arrivedMs;
    }

    /** The place of its class. */
    public int requestClass() {
        return requestClass;
    }

    /** The place of its tenant. */
    public int tenant() {
        return tenant;
    }

    /** The work of all tiers that one try of it asks for, without repeats of calls. */
    public double workMs() {
        return workMs;
    }

    /** By which repeats are known, or null. */
    public String key() {
        return key;
    }

    /** What came of it so far. */
    public List<Try> tries() {
        return tries;
    }

    /** When it was served, or NaN. */
    public double servedMs() {
        return tries.isEmpty() || last().end != End.SERVED ? Double.NaN : last().endedMs;
    }

    /** Its last try that has ended. */
    public Try last() {
        return tries.get(tries.size() - 1);
    }
}
