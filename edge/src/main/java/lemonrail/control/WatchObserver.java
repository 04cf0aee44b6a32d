package lemonrail.control;

/** Sees what passes between a node and its watchers, on the node's thread, as experiments measure it. */
public interface WatchObserver {

    /**
     * A call has come or an answer has gone out.
     *
     * @param watcher its name, empty where it tells none
     * @param digest over what it held as it called, null where it tells none and with answers
     * @param calledBytes of the call, headers counted by their usual size; 0 with an answer
     * @param answeredBytes the same of the answer
     */
    void passed(String watcher, Long digest, int calledBytes, int answeredBytes);
}
