package lemonrail.exchange;

import java.util.function.Supplier;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.upgrade.ExecutedRequestIds;

/** Recognises requests that must not be dispatched because one with the same id has been. Used on the event loop. */
final class DuplicateRequests {

    private final RequestTable<?, ?> requests;
    private final Supplier<BalancerSettings> settings;
    private ExecutedRequestIds executedIds = ExecutedRequestIds.unshared();

    DuplicateRequests(RequestTable<?, ?> requests, Supplier<BalancerSettings> settings) {
        this.requests = requests;
        this.settings = settings;
    }

    /** Shares the ids of executed requests with the other process of this sidecar. */
    void shareExecutedIds(ExecutedRequestIds shared) {
        executedIds = shared;
    }

    /** Returns whether a request with this id is in flight, or may have been executed and must not be again. */
    boolean contains(String id, int requestClass) {
        return requests.contains(id) || (!mayExecuteAgain(requestClass) && executedIds.contains(id));
    }

    /** Notes that a request may have been executed from now on. */
    void onExecutable(PendingRequest<?, ?> request) {
        if (!mayExecuteAgain(request.requestClass())) {
            executedIds.add(request.id());
        }
    }

    private boolean mayExecuteAgain(int requestClass) {
        return settings.get().classes().get(requestClass).mayRejectAfterExecution();
    }
}
