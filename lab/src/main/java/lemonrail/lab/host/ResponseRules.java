package lemonrail.lab.host;

import io.netty.handler.codec.http.FullHttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lemonrail.core.balancer.RequestClass;
import lemonrail.lab.model.ClientRequest;
import lemonrail.lab.model.Scheduler;

/** Checks the final response of each request against the response rules, given the attempts that endpoints recorded. */
final class ResponseRules {

    private final Scheduler scheduler;
    private final AttemptRecorder recorder;
    private final int maxAttempts;
    private final boolean linkIsPlain;

    /**
     * Creates the rules of one run.
     *
     * @param maxAttempts maximum number of attempts per request
     * @param linkIsPlain whether the links between clients and sidecars are ideal, so that no connection may break
     */
    ResponseRules(Scheduler scheduler, AttemptRecorder recorder, int maxAttempts, boolean linkIsPlain) {
        this.scheduler = scheduler;
        this.recorder = recorder;
        this.maxAttempts = maxAttempts;
        this.linkIsPlain = linkIsPlain;
    }

    /**
     * Checks one request: it gets a final response in time, a success was made by an endpoint that received the
     * request, a request that may have run is not rejected, and attempts stay within their maximum.
     */
    void check(
            String id,
            RequestClass requestClass,
            ClientRequest.End end,
            FullHttpResponse response,
            double sentMs,
            double timeoutMs) {
        List<AttemptRecorder.Attempt> attempts = recorder.attemptsOf(id);
        if (end == ClientRequest.End.GIVEN_UP) {
            recorder.recordViolation("no answer within " + Math.round(scheduler.nowMs() - sentMs) + " of "
                    + Math.round(timeoutMs) + " ms: " + id);
        } else if (end == ClientRequest.End.LOST && linkIsPlain) {
            recorder.recordViolation("the connection ended without a whole answer: " + id);
        } else if (end == ClientRequest.End.SERVED) {
            checkServed(id, response, attempts);
        }
        if (end == ClientRequest.End.REFUSED
                && !requestClass.mayRejectAfterExecution()
                && attempts.stream().anyMatch(attempt -> !Double.isNaN(attempt.startedMs()))) {
            recorder.recordViolation("refused after it may have run: " + id);
        }
        if (attempts.size() > maxAttempts) {
            recorder.recordViolation(attempts.size() + " attempts: " + id);
        }
    }

    private void checkServed(String id, FullHttpResponse response, List<AttemptRecorder.Attempt> attempts) {
        String body = response.content().toString(StandardCharsets.UTF_8);
        if (attempts.stream().noneMatch(attempt -> body.equals(attempt.endpoint() + " " + id))) {
            recorder.recordViolation("served with what no endpoint made for it: " + id);
        }
    }
}
