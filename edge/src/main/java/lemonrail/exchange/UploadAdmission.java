package lemonrail.exchange;

import java.util.Collection;

/**
 * Decides whether a request may be dispatched whose body is still arriving. Such a request occupies an endpoint for as
 * long as its client takes to send the body, so that clients that stop in the middle of their bodies could use up the
 * limit of requests in flight. They may use a part of it, and all other requests keep the rest.
 */
final class UploadAdmission {

    /** The part of the limit of requests in flight that arriving bodies may use. */
    private static final double MAX_FRACTION_OF_LIMIT = 0.5;

    private UploadAdmission() {}

    /**
     * Returns whether another request with an arriving body may be dispatched.
     *
     * @param inFlight the requests in flight
     * @param concurrencyLimit how many requests may be in flight
     */
    static boolean isAdmitted(Collection<? extends PendingRequest<?, ?>> inFlight, double concurrencyLimit) {
        long arrivingBodies =
                inFlight.stream().filter(UploadAdmission::isBodyArriving).count();
        return arrivingBodies < Math.max(1, concurrencyLimit * MAX_FRACTION_OF_LIMIT);
    }

    private static boolean isBodyArriving(PendingRequest<?, ?> request) {
        return !request.isConcluded() && request.bodyState() != RequestBodyState.COMPLETE;
    }
}
