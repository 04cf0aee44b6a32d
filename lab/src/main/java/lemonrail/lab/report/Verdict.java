package lemonrail.lab.report;

import java.util.List;

/**
 * What a run was worth, as the site's brief counts it: 1 is all that was asked for, in time.
 *
 * @param service the goal: half for the whole run, 0.3 for its worst 10 s, a tenth each for the worst class
 *     and the worst tenant, less up to 0.12 for work wasted and 0.12 for answers only after the wanted time
 * @param waste work done for answers that no client got, as part of the work asked for
 * @param late of all asked for, the part that was served only after its wanted time
 * @param perAsk attempts at endpoints of the first tier for each thing asked for
 * @param p50Ms and the others: time to a served answer, from when it was due
 * @param rules rules broken, in words, the first of them
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
