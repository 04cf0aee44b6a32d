package lemonrail.net;

/** Thrown while a head is decoded if there is no memory left for it. */
public final class MemoryExhaustedException extends RuntimeException {

    private static final long serialVersionUID = 1;

    MemoryExhaustedException() {
        super("no memory is left for the head", null, false, false);
    }
}
