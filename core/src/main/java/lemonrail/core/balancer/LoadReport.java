package lemonrail.core.balancer;

/**
 * What an endpoint reported of its load with a response.
 *
 * @param inFlight its requests in flight; negative if it reported none
 */
public record LoadReport(double inFlight) {

    /** No report. */
    public static final LoadReport NONE = new LoadReport(-1);
}
