package lemonrail.http1;

/** The result of {@link RequestHeadMapper#map}: a {@link RequestHead}, or the error to respond with. */
sealed interface MappedHead permits RequestHead, ClientMessage.RequestError {}
