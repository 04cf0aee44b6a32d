package lemonrail.lab.host;

import io.netty.handler.codec.http.FullHttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lemonrail.core.balancer.RequestClass;
import lemonrail.lab.model.ClientRequest;
import lemonrail.lab.model.Scheduler;

/** Checks what a client got against the rules for answers, by the attempts that endpoints saw. */
final class AnswerRules {

    private final Scheduler scheduler;
    private final AttemptRecorder recorder;
    private final int mostAttempts;
    private final boolean linkIsPlain;

    /**
     * The rules of one run.
     *
     * @param mostAttempts of one request
     * @param linkIsPlain whether nothing between clients and sidecars may break a connection
     */
    AnswerRules(Scheduler scheduler, AttemptRecorder recorder, int mostAttempts, boolean linkIsPlain) {
        this.scheduler = scheduler;
        this.recorder = recorder;
        this.mostAttempts = mostAttempts;
        this.linkIsPlain = linkIsPlain;
    }

    /** One final answer, made by an endpoint where it serves, and no refusal of what may have run. */
    void check(
            String id,
            RequestClass kind,
            ClientRequest.End end,
            FullHttpResponse answer,
            double sentMs,
            double waitMs) {
        List<AttemptRecorder.Attempt> attempts = recorder.of(id);
        if (end == ClientRequest.End.GIVEN_UP) {
            recorder.broken("no answer within " + Math.round(scheduler.nowMs() - sentMs) + " of " + Math.round(waitMs)
                    + " ms: " + id);
        } else if (end == ClientRequest.End.LOST && linkIsPlain) {
            recorder.broken("the connection ended without a whole answer: " + id);
        } else if (end == ClientRequest.End.SERVED) {
            checkServed(id, answer, attempts);
        }
        if (end == ClientRequest.End.REFUSED
                && !kind.mayRejectAfterExecution()
                && attempts.stream().anyMatch(attempt -> !Double.isNaN(attempt.ranMs()))) {
            recorder.broken("refused after it may have run: " + id);
        }
        if (attempts.size() > mostAttempts) {
            recorder.broken(attempts.size() + " attempts: " + id);
        }
    }

    private void checkServed(String id, FullHttpResponse answer, List<AttemptRecorder.Attempt> attempts) {
        String body = answer.content().toString(StandardCharsets.UTF_8);
        if (attempts.stream().noneMatch(attempt -> body.equals(attempt.endpoint() + " " + id))) {
            recorder.broken("served with what no endpoint made for it: " + id);
        }
    }
}
