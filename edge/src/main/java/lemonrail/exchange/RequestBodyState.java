package lemonrail.exchange;

/** How much of a request's body the sidecar has received, which determines when the client's timeout starts. */
enum RequestBodyState {
    /** The client is still sending, and all that has arrived has been read: the client's timeout has not started. */
    AWAITED,
    /**
     * The sidecar has stopped reading. All of the rest may already be waiting to be read, so the client's timeout may
     * have started.
     */
    HELD_BACK,
    /** The complete body has been received. */
    COMPLETE
}
