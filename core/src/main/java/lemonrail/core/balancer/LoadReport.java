package lemonrail.core.balancer;

/**
 * The load that an endpoint reported with a response.
 *
 * @param inFlight the number of requests in flight at the endpoint; negative if it was not reported
 */
public record LoadReport(double inFlight) {

    /** The report of an endpoint that reported no load. */
    public static final LoadReport NONE = new LoadReport(-1);
}
