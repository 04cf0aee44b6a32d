package lemonrail.lab.report;

import java.util.List;

/**
 * The scores of a run. {@code service}, {@code whole}, {@code worst10s}, {@code worstClass} and {@code worstTenant} are
 * 1 if all requests were served within their latency objectives. Requests count with the priority weight of their
 * class, and requests over a tenant's quota with a reduced weight.
 *
 * @param service the overall score: 0.5 times {@code whole}, plus 0.3 times {@code worst10s}, plus 0.1 times each of
 *     {@code worstClass} and {@code worstTenant}, minus up to 0.12 for {@code waste} and up to 0.12 for {@code late}
 * @param whole the score over all requests
 * @param worst10s the lowest score of any 10 s window that has enough requests
 * @param worstClass the lowest score of any request class
 * @param worstTenant the lowest score of any tenant, without requests over its quota
 * @param waste work done for responses that no client received, as a fraction of the requested work
 * @param late weighted fraction of the requests that were served after their latency objective
 * @param asked number of requests
 * @param failed number of requests whose last client attempt got an error response or no connection
 * @param unanswered number of requests whose last client attempt was given up or lost its connection
 * @param perAsk attempts at endpoints of the first tier per request
 * @param p50Ms like the other percentiles, the latency of served requests, measured from when they were due
 * @param broken number of rule violations
 * @param rules descriptions of the first rule violations
 */
public record Verdict(
        double service,
        double whole,
        double worst10s,
        double worstClass,
        double worstTenant,
        double waste,
        double late,
        int asked,
        int served,
        int refused,
        int failed,
        int unanswered,
        double perAsk,
        double p50Ms,
        double p99Ms,
        double p999Ms,
        int broken,
        List<String> rules) {}
