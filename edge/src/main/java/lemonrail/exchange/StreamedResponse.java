package lemonrail.exchange;

import lemonrail.streaming.BodyPipe;

/**
 * A large response that is being forwarded.
 *
 * @param attempt the attempt whose response this is
 * @param body the pipe that carries the body
 */
record StreamedResponse(PendingAttempt attempt, BodyPipe body) {}
