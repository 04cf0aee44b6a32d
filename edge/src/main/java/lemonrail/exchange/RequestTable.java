package lemonrail.exchange;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemonrail.streaming.BufferBudget;

/**
 * The requests in flight, by id. Their buffered bytes count towards the buffer budget while they are in the table.
 *
 * @param <M> the protocol's requests
 * @param <A> the protocol's responses
 */
final class RequestTable<M extends ProtocolRequest, A> {

    private final BufferBudget budget;
    private final Map<String, PendingRequest<M, A>> requests = new HashMap<>();

    RequestTable(BufferBudget budget) {
        this.budget = budget;
    }

    void add(PendingRequest<M, A> request) {
        requests.put(request.id(), request);
        budget.acquire(request.message().bufferedBytes());
    }

    /** Removes a request; does nothing if it is no longer in the table. */
    void remove(PendingRequest<M, A> request) {
        if (requests.remove(request.id(), request)) {
            budget.release(request.message().bufferedBytes());
        }
    }

    /** Returns the request with this id, or null if it is not in flight. */
    PendingRequest<M, A> find(String id) {
        return requests.get(id);
    }

    /** Returns the request with this id, or null if it is not in flight or its final response has been given. */
    PendingRequest<M, A> findUnconcluded(String id) {
        PendingRequest<M, A> request = requests.get(id);
        return request == null || request.isConcluded() ? null : request;
    }

    boolean contains(String id) {
        return requests.containsKey(id);
    }

    int size() {
        return requests.size();
    }

    Collection<PendingRequest<M, A>> all() {
        return requests.values();
    }

    /** Returns a copy of the current requests, for callers that conclude requests while iterating. */
    List<PendingRequest<M, A>> snapshot() {
        return List.copyOf(requests.values());
    }
}
